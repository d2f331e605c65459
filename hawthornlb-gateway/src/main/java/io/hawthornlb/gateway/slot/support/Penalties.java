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
 * Endpoints that get nothing for a while because they failed, seen from one data centre each.
 *
 * <p>A cut between data centres fails requests from one side only, so a failure counts for the data
 * centre that met it. Were each endpoint behind the cut found out by a request of its own, each of
 * these would lose the time of a connection attempt; so once two endpoints of another data centre
 * have failed in a row, all of that data centre get nothing from there, but for one try now and
 * then.
 */
final class Penalties {

  private record Penalty(int failures, Instant until) {}

  /** A way between data centres. */
  private record Path(String from, String to) {

    // Written out: the generated ones are linked at run time, in some milliseconds.
    @Override
    public boolean equals(Object other) {
      return other instanceof Path path && from.equals(path.from) && to.equals(path.to);
    }

    @Override
    public int hashCode() {
      return 31 * from.hashCode() + to.hashCode();
    }
  }

  /** Endpoints that must have failed before their data centre counts as cut off. */
  private static final int FAILED_FOR_CUT = 2;

  private final Map<Place, Penalty> penalties = new HashMap<>();
  private final Map<Path, Set<String>> failedOnPath = new HashMap<>();
  private final Map<Path, Instant> cuts = new HashMap<>();
  private final SlotSettings settings;

  Penalties(SlotSettings settings) {
    this.settings = settings;
  }

  boolean free(EndpointRecord endpoint, String dataCentre, Instant now) {
    Instant cutUntil = cuts.get(new Path(dataCentre, endpoint.dataCentre()));
    if (cutUntil != null && now.isBefore(cutUntil)) {
      return false;
    }
    Penalty penalty = penalties.get(new Place(endpoint.id(), dataCentre));
    return penalty == null || !now.isBefore(penalty.until());
  }

  /**
   * Notes that an endpoint got a request, perhaps as a try after failures.
   *
   * <p>Without this, all that wait when a penalty ends would go to an endpoint that still fails.
   */
  void granted(EndpointRecord endpoint, String dataCentre, Instant now) {
    Instant tryUntil = now.plus(settings.tryTime());
    cuts.computeIfPresent(new Path(dataCentre, endpoint.dataCentre()), (path, until) -> tryUntil);
    penalties.computeIfPresent(
        new Place(endpoint.id(), dataCentre),
        (place, former) ->
            former.failures() > 0 ? new Penalty(former.failures(), tryUntil) : former);
  }

  /** Takes the end of a use at an endpoint that may be in a data centre of its own. */
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
      Set<String> failed = failedOnPath.computeIfAbsent(path, any -> new HashSet<>());
      failed.add(endpoint);
      if (failed.size() >= FAILED_FOR_CUT) {
        cuts.put(path, now.plus(settings.cutPenalty()));
      }
    }
    penalize(endpoint, dataCentre, outcome, now);
  }

  /** Forgets the failures of a former life of an endpoint; a crash of it was no cut. */
  void forget(String endpoint) {
    penalties.keySet().removeIf(place -> place.endpoint().equals(endpoint));
    failedOnPath.forEach(
        (path, failed) -> {
          if (failed.remove(endpoint) && failed.size() < FAILED_FOR_CUT) {
            cuts.remove(path);
          }
        });
  }

  private void penalize(String endpoint, String dataCentre, SlotOutcome outcome, Instant now) {
    Place place = new Place(endpoint, dataCentre);
    switch (outcome) {
      case ANSWERED, ERROR -> penalties.remove(place);
      case SHED -> penalties.merge(place, shed(now), Penalties::later);
      case FAILED, UNREACHED -> penalties.merge(place, failed(place, now), Penalties::later);
      case REPLACED -> penalties.put(place, new Penalty(1, now.plus(settings.maxPenalty())));
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

  private Penalty failed(Place place, Instant now) {
    Penalty former = penalties.get(place);
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
