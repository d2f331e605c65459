package io.hawthornlb.gateway.slot.support;

import io.hawthornlb.gateway.slot.SlotOutcome;
import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

/**
 * Endpoints that fail a good part of their requests while their health says that they are well.
 *
 * <p>Failure: an endpoint answers with errors, sheds, breaks off or is silent. Errors come faster
 * than answers, so that its slots are free more often than others and placing by free slots sends
 * it more than its share; on a crest it is the only one with free slots and gets nearly all. It
 * shows as failures between successes, which end each penalty for a failure. Guard: the share of
 * failures among the recent ends of uses is kept, and how many failed in a row. Above a limit the
 * endpoint gets requests only when no other has a slot, and no items; if most fail it gets nothing
 * but one try at a time.
 *
 * <p>What fails on the way between data centres fails for one of them, which alone avoids the
 * endpoint then. Errors that the endpoint itself answers to several of them count for all, and so
 * does what fails within its own.
 */
final class Outliers {

  /** Stands for all data centres. */
  private static final String EVERYWHERE = "";

  /** Weight of a hint: full endpoints are silent or shed for a moment as well. */
  private static final double HINT = 0.5;

  /** Failures in a row after which an endpoint gets nothing; chance errors are one in a hundred. */
  private static final int ROW = 2;

  /** Share of failures from which on a caller does better to wait or to come back. */
  private static final double MOST = 0.5;

  /** Data centres that must have seen errors for these to count for all. */
  private static final int DATA_CENTRES = 2;

  /**
   * How an endpoint is avoided.
   *
   * @param times times that it was found to fail
   * @param until until when it is avoided
   * @param failsMost whether it gets nothing, also when no other has a slot
   * @param triedAt when it was first tried again; {@link Instant#MAX} if it was not
   * @param proven whether it has answered since
   */
  private record Avoided(
      int times, Instant until, boolean failsMost, Instant triedAt, boolean proven) {}

  private final SlotSettings settings;
  private final Map<Place, RecentEnds> ends = new HashMap<>();
  private final Map<Place, Avoided> avoided = new HashMap<>();
  private final Map<String, Set<String>> sawErrors = new HashMap<>();

  /** Endpoints that fail whoever asks, so that their failures count for all. */
  private final Set<String> failAll = new HashSet<>();

  Outliers(SlotSettings settings) {
    this.settings = settings;
  }

  /** Takes the end of a use. */
  void ended(SlotLease lease, SlotOutcome outcome, Instant now) {
    String endpoint = lease.endpoint();
    String dataCentre = lease.dataCentre();
    Instant since = lease.since();
    Place here = new Place(endpoint, dataCentre);
    Place everywhere = new Place(endpoint, EVERYWHERE);
    switch (outcome) {
      case ANSWERED -> {
        succeeded(here, since, now);
        succeeded(everywhere, since, now);
      }
      case ERROR -> {
        failed(here, now);
        sawError(endpoint, dataCentre);
        failed(everywhere, now);
      }
      case FAILED -> {
        failed(here, now);
        if (dataCentre.equals(lease.endpointDataCentre())) {
          // Nothing between data centres can be at fault.
          failAll.add(endpoint);
          failed(everywhere, now);
        }
      }
      case SHED -> suspected(endpoint, dataCentre, now);
      case ABANDONED, REPLACED, UNREACHED -> {}
      default -> throw new IllegalArgumentException("unknown outcome " + outcome);
    }
  }

  /** Takes a hint that the endpoint of a use is silent. */
  void suspected(String endpoint, String dataCentre, Instant now) {
    Place here = new Place(endpoint, dataCentre);
    judge(here, recent(here, now).hinted(HINT, now), now);
  }

  /** Takes that an endpoint got a request, perhaps as a try after it was avoided. */
  void granted(String endpoint, String dataCentre, Instant now) {
    beginTry(new Place(endpoint, dataCentre), now);
    beginTry(new Place(endpoint, EVERYWHERE), now);
  }

  /** Returns whether an endpoint gets requests only when no other has a slot. */
  boolean avoided(String endpoint, String dataCentre, Instant now) {
    // Asked for each endpoint and decision, mostly while all are sound.
    return !avoided.isEmpty()
        && (avoidedFrom(new Place(endpoint, dataCentre), now)
            || avoidedFrom(new Place(endpoint, EVERYWHERE), now));
  }

  /** Returns whether an endpoint gets nothing from a data centre. */
  boolean failsMost(String endpoint, String dataCentre, Instant now) {
    return !avoided.isEmpty()
        && (failsMostFrom(new Place(endpoint, dataCentre), now) || failsMost(endpoint, now));
  }

  /** Returns whether an endpoint gets nothing from anywhere. */
  boolean failsMost(String endpoint, Instant now) {
    return !avoided.isEmpty() && failsMostFrom(new Place(endpoint, EVERYWHERE), now);
  }

  /** Forgets what a former life of an endpoint did. */
  void forget(String endpoint) {
    ends.keySet().removeIf(place -> place.endpoint().equals(endpoint));
    avoided.keySet().removeIf(place -> place.endpoint().equals(endpoint));
    sawErrors.remove(endpoint);
    failAll.remove(endpoint);
  }

  private boolean avoidedFrom(Place place, Instant now) {
    Avoided known = avoided.get(place);
    return known != null && now.isBefore(known.until());
  }

  private boolean failsMostFrom(Place place, Instant now) {
    Avoided known = avoided.get(place);
    return known != null && known.failsMost() && now.isBefore(known.until());
  }

  private RecentEnds recent(Place place, Instant now) {
    return ends.getOrDefault(place, RecentEnds.none(now));
  }

  private void succeeded(Place place, Instant since, Instant now) {
    ends.put(place, recent(place, now).succeeded(since, now));
    Avoided known = avoided.get(place);
    if (known != null && !since.isBefore(known.triedAt())) {
      avoided.put(place, new Avoided(known.times(), now, known.failsMost(), known.triedAt(), true));
    }
  }

  private void failed(Place place, Instant now) {
    judge(place, recent(place, now).failed(now), now);
  }

  /** Keeps the ends of uses, or avoids the endpoint if they tell that it fails. */
  private void judge(Place place, RecentEnds recent, Instant now) {
    ends.put(place, recent);
    boolean counts = !place.dataCentre().equals(EVERYWHERE) || failAll.contains(place.endpoint());
    boolean most = recent.row() >= ROW || recent.failedShare(MOST);
    boolean again = foundLately(place, now) && recent.row() > 0;
    boolean failing = again || most || recent.failedShare(settings.outlierShare());
    if (counts && failing && settings.outlierShare() <= 1) {
      avoid(place, most, now);
      // What it does when it is tried again counts alone.
      ends.put(place, recent.rowAlone());
    }
  }

  private void sawError(String endpoint, String dataCentre) {
    Set<String> saw = sawErrors.computeIfAbsent(endpoint, any -> new HashSet<>());
    saw.add(dataCentre);
    if (saw.size() >= DATA_CENTRES) {
      failAll.add(endpoint);
    }
  }

  private boolean foundLately(Place place, Instant now) {
    Avoided known = avoided.get(place);
    return known != null && now.isBefore(known.until().plus(settings.maxOutlierTime()));
  }

  /** Avoids an endpoint for a time that doubles while it is found to fail again and again. */
  private void avoid(Place place, boolean most, Instant now) {
    Avoided former = foundLately(place, now) ? avoided.get(place) : null;
    if (former != null && !former.proven() && now.isBefore(former.until()) && !tried(former)) {
      // Uses that began before it was avoided tell nothing new, but that most fail.
      boolean either = most || former.failsMost();
      avoided.put(
          place, new Avoided(former.times(), former.until(), either, former.triedAt(), false));
      return;
    }
    int times = former == null ? 1 : Math.min(former.times() + 1, 10);
    boolean failsMost = most || (former != null && former.failsMost());
    Duration doubled = settings.outlierTime().multipliedBy(1L << (times - 1));
    Duration longest = settings.maxOutlierTime();
    Duration time = doubled.compareTo(longest) > 0 ? longest : doubled;
    avoided.put(place, new Avoided(times, now.plus(time), failsMost, Instant.MAX, false));
  }

  private static boolean tried(Avoided known) {
    return !known.triedAt().equals(Instant.MAX);
  }

  /** Lets one request alone try an endpoint, until it answers or the time of a try is over. */
  private void beginTry(Place place, Instant now) {
    Avoided known = avoided.get(place);
    if (known == null || known.proven() || now.isBefore(known.until())) {
      return;
    }
    Instant first = tried(known) ? known.triedAt() : now;
    Instant until = now.plus(settings.tryTime());
    avoided.put(place, new Avoided(known.times(), until, known.failsMost(), first, false));
  }
}
