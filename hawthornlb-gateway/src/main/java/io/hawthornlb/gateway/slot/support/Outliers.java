package io.hawthornlb.gateway.slot.support;

import io.hawthornlb.gateway.slot.SlotOutcome;
import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.Map;

/**
 * Endpoints that fail a good part of their requests while they serve the others, seen from one data
 * centre each.
 *
 * <p>Failure: an endpoint answers some requests with an error, sheds them, breaks off or is silent,
 * and its health says that it is well. Errors come faster than answers, so that its slots are free
 * more often than others and placing by free slots sends it more than its share. It shows as
 * failures between successes, which end each penalty for a failure. Guard: the share of failures
 * among the recent ends of uses is kept; above a limit the endpoint gets requests only when no
 * other has a slot, and no items.
 */
final class Outliers {

  /** Time in which an end loses half of its weight; an endpoint has many ends in it. */
  private static final Duration HALF_LIFE = Duration.ofSeconds(2);

  /** Weight of ends from which on a share says something; one failure alone is often a cut. */
  private static final double LEAST_ENDS = 2.5;

  /** Weight of a hint: full endpoints are silent or shed for a moment as well. */
  private static final double HINT = 0.5;

  /** Ends by weight, as of a moment. */
  private record Ends(double all, double failed, Instant at) {

    private Ends plus(double end, double failure, Instant now) {
      double left = weightLeft(now);
      return new Ends(all * left + end, failed * left + failure, now);
    }

    private double weightLeft(Instant now) {
      double passed = Duration.between(at, now).toMillis();
      return Math.pow(0.5, passed / HALF_LIFE.toMillis());
    }
  }

  /** Times that an endpoint was found to fail, and until when it is avoided. */
  private record Avoided(int times, Instant until) {}

  private final SlotSettings settings;
  private final Map<Place, Ends> ends = new HashMap<>();
  private final Map<Place, Avoided> avoided = new HashMap<>();

  Outliers(SlotSettings settings) {
    this.settings = settings;
  }

  /** Takes the end of a use. */
  void ended(String endpoint, String dataCentre, SlotOutcome outcome, Instant now) {
    switch (outcome) {
      case ANSWERED -> add(endpoint, dataCentre, 1, 0, now);
      case ERROR, FAILED -> add(endpoint, dataCentre, 1, 1, now);
      case SHED -> add(endpoint, dataCentre, HINT, HINT, now);
      case ABANDONED, REPLACED, UNREACHED -> {}
      default -> throw new IllegalArgumentException("unknown outcome " + outcome);
    }
  }

  /** Takes a hint that the endpoint of a use is silent. */
  void suspected(String endpoint, String dataCentre, Instant now) {
    add(endpoint, dataCentre, HINT, HINT, now);
  }

  boolean avoided(String endpoint, String dataCentre, Instant now) {
    Avoided known = avoided.get(new Place(endpoint, dataCentre));
    return known != null && now.isBefore(known.until());
  }

  /** Forgets what a former life of an endpoint did. */
  void forget(String endpoint) {
    ends.keySet().removeIf(place -> place.endpoint().equals(endpoint));
    avoided.keySet().removeIf(place -> place.endpoint().equals(endpoint));
  }

  private void add(String endpoint, String dataCentre, double end, double failure, Instant now) {
    Place place = new Place(endpoint, dataCentre);
    Ends before = ends.getOrDefault(place, new Ends(0, 0, now));
    Ends next = before.plus(end, failure, now);
    boolean failing = next.failed() >= settings.outlierShare() * next.all();
    if (failure > 0 && failing && next.all() >= LEAST_ENDS) {
      avoid(place, now);
      // What it does when it is tried again counts alone.
      ends.remove(place);
    } else {
      ends.put(place, next);
    }
  }

  /** Avoids an endpoint for a time that doubles while it is found to fail again and again. */
  private void avoid(Place place, Instant now) {
    Avoided former = avoided.get(place);
    boolean again = former != null && now.isBefore(former.until().plus(settings.maxOutlierTime()));
    int times = again ? Math.min(former.times() + 1, 10) : 1;
    Duration doubled = settings.outlierTime().multipliedBy(1L << (times - 1));
    Duration longest = settings.maxOutlierTime();
    Duration time = doubled.compareTo(longest) > 0 ? longest : doubled;
    avoided.put(place, new Avoided(times, now.plus(time)));
  }
}
