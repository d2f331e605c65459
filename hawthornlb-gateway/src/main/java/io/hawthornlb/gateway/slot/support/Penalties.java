package io.hawthornlb.gateway.slot.support;

import io.hawthornlb.gateway.endpoint.EndpointRecord;
import io.hawthornlb.gateway.slot.SlotOutcome;
import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

/**
 * Keeps endpoints from getting requests for a while after they failed, separately for each data
 * centre that requests come from.
 *
 * <p>A network partition between data centres fails requests from one side only, so a failure
 * counts only for the data centre that observed it. If each endpoint behind the partition had to
 * fail a request of its own, each of these requests would lose the time of a connection attempt. So
 * once two endpoints of another data centre have failed in a row, no endpoint of that data centre
 * gets requests from this side, except for an occasional probe.
 */
final class Penalties {

  private record Penalty(int failures, Instant until) {}

  /** The network path from one data centre to another. */
  private record Path(String from, String to) {

    // Written by hand, because the JVM links the generated methods at run time, which takes some
    // milliseconds.
    @Override
    public boolean equals(Object other) {
      return other instanceof Path path && from.equals(path.from) && to.equals(path.to);
    }

    @Override
    public int hashCode() {
      return 31 * from.hashCode() + to.hashCode();
    }
  }

  /** Number of endpoints that must have failed before their data centre counts as cut off. */
  private static final int FAILED_FOR_CUT = 2;

  private final Map<EndpointView, Penalty> penalties = new HashMap<>();
  private final Map<Path, Set<String>> failedOnPath = new HashMap<>();
  private final Map<Path, Instant> cuts = new HashMap<>();
  private final SlotSettings settings;

  Penalties(SlotSettings settings) {
    this.settings = settings;
  }

  boolean allows(EndpointRecord endpoint, String dataCentre, Instant now) {
    // Fast path: called for each endpoint in each decision, mostly without any penalty.
    if (penalties.isEmpty() && cuts.isEmpty()) {
      return true;
    }
    Instant cutUntil = cuts.get(new Path(dataCentre, endpoint.dataCentre()));
    if (cutUntil != null && now.isBefore(cutUntil)) {
      return false;
    }
    Penalty penalty = penalties.get(new EndpointView(endpoint.id(), dataCentre));
    return penalty == null || !now.isBefore(penalty.until());
  }

  /**
   * Records that an endpoint was granted a request, which may be a probe after failures.
   *
   * <p>Otherwise all requests that wait when a penalty ends would go to an endpoint that may still
   * be failing.
   */
  void granted(EndpointRecord endpoint, String dataCentre, Instant now) {
    Instant probeUntil = now.plus(settings.probeTime());
    cuts.computeIfPresent(new Path(dataCentre, endpoint.dataCentre()), (path, until) -> probeUntil);
    penalties.computeIfPresent(
        new EndpointView(endpoint.id(), dataCentre),
        (view, former) ->
            former.failures() > 0 ? new Penalty(former.failures(), probeUntil) : former);
  }

  /**
   * Records the outcome of a use at an endpoint, which may be in another data centre than the
   * gateway.
   */
  void record(
      String endpoint,
      String endpointDataCentre,
      String dataCentre,
      SlotOutcome outcome,
      Instant now) {
    Path path = new Path(dataCentre, endpointDataCentre);
    if (outcome == SlotOutcome.ANSWERED) {
      failedOnPath.remove(path);
      cuts.remove(path);
    } else if (failure(outcome) && !dataCentre.equals(endpointDataCentre)) {
      Set<String> failed = failedOnPath.computeIfAbsent(path, key -> new HashSet<>());
      failed.add(endpoint);
      if (failed.size() >= FAILED_FOR_CUT) {
        cuts.put(path, now.plus(settings.cutPenalty()));
      }
    }
    penalize(endpoint, dataCentre, outcome, now);
  }

  /**
   * Discards the failures of a former incarnation of an endpoint; its crash was no network
   * partition.
   */
  void forget(String endpoint) {
    penalties.keySet().removeIf(view -> view.endpoint().equals(endpoint));
    failedOnPath.forEach(
        (path, failed) -> {
          if (failed.remove(endpoint) && failed.size() < FAILED_FOR_CUT) {
            cuts.remove(path);
          }
        });
  }

  private void penalize(String endpoint, String dataCentre, SlotOutcome outcome, Instant now) {
    EndpointView view = new EndpointView(endpoint, dataCentre);
    switch (outcome) {
      case ANSWERED, ERROR -> penalties.remove(view);
      case SHED -> penalties.merge(view, shed(now), Penalties::later);
      case FAILED, UNREACHED -> penalties.merge(view, failed(view, now), Penalties::later);
      case REPLACED -> penalties.put(view, new Penalty(1, now.plus(settings.maxPenalty())));
      case ABANDONED -> {}
      default -> throw new IllegalArgumentException("unknown outcome " + outcome);
    }
  }

  private static boolean failure(SlotOutcome outcome) {
    return outcome == SlotOutcome.FAILED || outcome == SlotOutcome.UNREACHED;
  }

  private Penalty shed(Instant now) {
    return new Penalty(0, now.plus(settings.shedPenalty()));
  }

  private Penalty failed(EndpointView view, Instant now) {
    Penalty former = penalties.get(view);
    int failures = former == null ? 1 : Math.min(former.failures() + 1, 10);
    Duration doubled = settings.firstPenalty().multipliedBy(1L << (failures - 1));
    Duration time = doubled.compareTo(settings.maxPenalty()) > 0 ? settings.maxPenalty() : doubled;
    return new Penalty(failures, now.plus(time));
  }

  private static Penalty later(Penalty former, Penalty next) {
    Instant until = former.until().isAfter(next.until()) ? former.until() : next.until();
    return new Penalty(Math.max(former.failures(), next.failures()), until);
  }
}
