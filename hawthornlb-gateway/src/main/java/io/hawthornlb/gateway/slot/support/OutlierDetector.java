package io.hawthornlb.gateway.slot.support;

import io.hawthornlb.gateway.slot.SlotOutcome;
import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

/**
 * Detects endpoints that fail a considerable share of their requests while their health checks
 * pass.
 *
 * <p>Such an endpoint answers with errors, sheds requests, breaks connections or stays silent.
 * Errors arrive faster than answers, so the slots of the endpoint are free more often than others,
 * and placement by free slots sends it more than its share; at peak load it is the only endpoint
 * with free slots and gets nearly all requests. Each success between the failures ends the penalty
 * for the preceding failure, so penalties do not keep requests away. The detector therefore keeps,
 * for each endpoint, the share of failures among recent outcomes and the number of consecutive
 * failures. Above a limit the endpoint gets requests only when no other endpoint has a free slot,
 * and no batch items. If it fails most requests, it gets nothing but one probe request at a time.
 *
 * <p>A failure on the network path between data centres counts only for the data centre that
 * observed it, and only that data centre avoids the endpoint. Errors that the endpoint itself
 * returns to several data centres count for all of them, and so do failures within the endpoint's
 * own data centre.
 */
final class OutlierDetector {

  /** Represents all data centres. */
  private static final String EVERYWHERE = "";

  /**
   * Weight of a hint; lower than that of a failure, because full endpoints also stay silent or shed
   * requests for a moment.
   */
  private static final double HINT_WEIGHT = 0.5;

  /**
   * Number of consecutive failures after which an endpoint gets no requests; by chance, about one
   * request in a hundred fails.
   */
  private static final int MAX_CONSECUTIVE_FAILURES = 2;

  /**
   * Share of failures from which on waiting or retrying later is better for a caller than using the
   * endpoint.
   */
  private static final double FAILS_MOST_SHARE = 0.5;

  /**
   * Number of data centres that must have received errors before the errors count for all data
   * centres.
   */
  private static final int MIN_DATA_CENTRES = 2;

  /**
   * State of an avoided endpoint.
   *
   * @param times how often the endpoint was found to be failing
   * @param until end of the time for which the endpoint is avoided
   * @param failsMost whether the endpoint gets no requests even if no other endpoint has a free
   *     slot
   * @param probedAt time of the first probe; {@link Instant#MAX} if the endpoint has not been
   *     probed
   * @param proven whether the endpoint has answered a request since the first probe
   */
  private record Avoided(
      int times, Instant until, boolean failsMost, Instant probedAt, boolean proven) {}

  private final SlotSettings settings;
  private final Map<EndpointView, RecentOutcomes> outcomes = new HashMap<>();
  private final Map<EndpointView, Avoided> avoided = new HashMap<>();
  private final Map<String, Set<String>> dataCentresWithErrors = new HashMap<>();

  /** Endpoints that fail requests from all data centres, so that their failures count for all. */
  private final Set<String> failAll = new HashSet<>();

  OutlierDetector(SlotSettings settings) {
    this.settings = settings;
  }

  /** Records the end of a use. */
  void ended(SlotLease lease, SlotOutcome outcome, Instant now) {
    String endpoint = lease.endpoint();
    String dataCentre = lease.dataCentre();
    Instant since = lease.since();
    EndpointView here = new EndpointView(endpoint, dataCentre);
    EndpointView everywhere = new EndpointView(endpoint, EVERYWHERE);
    switch (outcome) {
      case ANSWERED -> {
        succeeded(here, since, now);
        succeeded(everywhere, since, now);
      }
      case ERROR -> {
        failed(here, now);
        recordError(endpoint, dataCentre);
        failed(everywhere, now);
      }
      case FAILED -> {
        failed(here, now);
        if (dataCentre.equals(lease.endpointDataCentre())) {
          // The network between data centres cannot have caused the failure.
          failAll.add(endpoint);
          failed(everywhere, now);
        }
      }
      case SHED -> suspected(endpoint, dataCentre, now);
      case ABANDONED, REPLACED, UNREACHED -> {}
      default -> throw new IllegalArgumentException("unknown outcome " + outcome);
    }
  }

  /** Records a hint that the endpoint of a use is silent. */
  void suspected(String endpoint, String dataCentre, Instant now) {
    EndpointView here = new EndpointView(endpoint, dataCentre);
    judge(here, recent(here, now).hinted(HINT_WEIGHT, now), now);
  }

  /**
   * Records that an endpoint was granted a request, which may be a probe after the endpoint was
   * avoided.
   */
  void granted(String endpoint, String dataCentre, Instant now) {
    beginProbe(new EndpointView(endpoint, dataCentre), now);
    beginProbe(new EndpointView(endpoint, EVERYWHERE), now);
  }

  /** Returns whether an endpoint gets requests only when no other endpoint has a free slot. */
  boolean avoided(String endpoint, String dataCentre, Instant now) {
    // Fast path: called for each endpoint in each decision, mostly while no endpoint is avoided.
    return !avoided.isEmpty()
        && (avoidedFrom(new EndpointView(endpoint, dataCentre), now)
            || avoidedFrom(new EndpointView(endpoint, EVERYWHERE), now));
  }

  /** Returns whether an endpoint gets no requests from a data centre. */
  boolean failsMost(String endpoint, String dataCentre, Instant now) {
    return !avoided.isEmpty()
        && (failsMostFrom(new EndpointView(endpoint, dataCentre), now) || failsMost(endpoint, now));
  }

  /** Returns whether an endpoint gets no requests from any data centre. */
  boolean failsMost(String endpoint, Instant now) {
    return !avoided.isEmpty() && failsMostFrom(new EndpointView(endpoint, EVERYWHERE), now);
  }

  /** Discards the outcomes of a former incarnation of an endpoint. */
  void forget(String endpoint) {
    outcomes.keySet().removeIf(view -> view.endpoint().equals(endpoint));
    avoided.keySet().removeIf(view -> view.endpoint().equals(endpoint));
    dataCentresWithErrors.remove(endpoint);
    failAll.remove(endpoint);
  }

  private boolean avoidedFrom(EndpointView view, Instant now) {
    Avoided known = avoided.get(view);
    return known != null && now.isBefore(known.until());
  }

  private boolean failsMostFrom(EndpointView view, Instant now) {
    Avoided known = avoided.get(view);
    return known != null && known.failsMost() && now.isBefore(known.until());
  }

  private RecentOutcomes recent(EndpointView view, Instant now) {
    return outcomes.getOrDefault(view, RecentOutcomes.none(now));
  }

  private void succeeded(EndpointView view, Instant since, Instant now) {
    outcomes.put(view, recent(view, now).succeeded(since, now));
    Avoided known = avoided.get(view);
    if (known != null && !since.isBefore(known.probedAt())) {
      avoided.put(view, new Avoided(known.times(), now, known.failsMost(), known.probedAt(), true));
    }
  }

  private void failed(EndpointView view, Instant now) {
    judge(view, recent(view, now).failed(now), now);
  }

  /** Stores the recent outcomes, and avoids the endpoint if they show that it is failing. */
  private void judge(EndpointView view, RecentOutcomes recent, Instant now) {
    outcomes.put(view, recent);
    boolean counts = !view.dataCentre().equals(EVERYWHERE) || failAll.contains(view.endpoint());
    boolean mostFail =
        recent.consecutiveFailures() >= MAX_CONSECUTIVE_FAILURES
            || recent.failedShare(FAILS_MOST_SHARE);
    boolean failsAgain = foundFailingRecently(view, now) && recent.consecutiveFailures() > 0;
    boolean failing = failsAgain || mostFail || recent.failedShare(settings.outlierShare());
    if (counts && failing && settings.outlierShare() <= 1) {
      avoid(view, mostFail, now);
      // From now on only the outcomes of probes count.
      outcomes.put(view, recent.consecutiveFailuresOnly());
    }
  }

  private void recordError(String endpoint, String dataCentre) {
    Set<String> dataCentres =
        dataCentresWithErrors.computeIfAbsent(endpoint, id -> new HashSet<>());
    dataCentres.add(dataCentre);
    if (dataCentres.size() >= MIN_DATA_CENTRES) {
      failAll.add(endpoint);
    }
  }

  private boolean foundFailingRecently(EndpointView view, Instant now) {
    Avoided known = avoided.get(view);
    return known != null && now.isBefore(known.until().plus(settings.maxOutlierTime()));
  }

  /**
   * Avoids an endpoint for a time that doubles each time the endpoint is found to be failing again.
   */
  private void avoid(EndpointView view, boolean mostFail, Instant now) {
    Avoided former = foundFailingRecently(view, now) ? avoided.get(view) : null;
    if (former != null && !former.proven() && now.isBefore(former.until()) && !probed(former)) {
      // Uses that began before the endpoint was avoided say nothing new, except whether most of
      // them fail.
      boolean failsMost = mostFail || former.failsMost();
      avoided.put(
          view, new Avoided(former.times(), former.until(), failsMost, former.probedAt(), false));
      return;
    }
    int times = former == null ? 1 : Math.min(former.times() + 1, 10);
    boolean failsMost = mostFail || (former != null && former.failsMost());
    Duration doubled = settings.outlierTime().multipliedBy(1L << (times - 1));
    Duration longest = settings.maxOutlierTime();
    Duration time = doubled.compareTo(longest) > 0 ? longest : doubled;
    avoided.put(view, new Avoided(times, now.plus(time), failsMost, Instant.MAX, false));
  }

  private static boolean probed(Avoided known) {
    return !known.probedAt().equals(Instant.MAX);
  }

  /**
   * Starts a probe: one request alone uses the endpoint until it is answered or the probe time is
   * over.
   */
  private void beginProbe(EndpointView view, Instant now) {
    Avoided known = avoided.get(view);
    if (known == null || known.proven() || now.isBefore(known.until())) {
      return;
    }
    Instant first = probed(known) ? known.probedAt() : now;
    Instant until = now.plus(settings.probeTime());
    avoided.put(view, new Avoided(known.times(), until, known.failsMost(), first, false));
  }
}
