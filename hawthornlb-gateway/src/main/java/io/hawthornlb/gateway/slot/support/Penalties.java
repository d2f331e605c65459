package io.hawthornlb.gateway.slot.support;

import io.hawthornlb.gateway.slot.SlotOutcome;
import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.Map;

/**
 * Endpoints that get nothing for a while because they failed, seen from one data centre each.
 *
 * <p>A cut between data centres fails requests from one side only, so a failure counts for the data
 * centre that met it.
 */
final class Penalties {

  private record Place(String endpoint, String dataCentre) {}

  private record Penalty(int failures, Instant until) {}

  private final Map<Place, Penalty> penalties = new HashMap<>();
  private final SlotSettings settings;

  Penalties(SlotSettings settings) {
    this.settings = settings;
  }

  boolean free(String endpoint, String dataCentre, Instant now) {
    Penalty penalty = penalties.get(new Place(endpoint, dataCentre));
    return penalty == null || !now.isBefore(penalty.until());
  }

  void record(String endpoint, String dataCentre, SlotOutcome outcome, Instant now) {
    Place place = new Place(endpoint, dataCentre);
    switch (outcome) {
      case ANSWERED -> penalties.remove(place);
      case SHED -> penalties.merge(place, shed(now), Penalties::later);
      case FAILED -> penalties.merge(place, failed(place, now), Penalties::later);
      case REPLACED -> penalties.put(place, new Penalty(1, now.plus(settings.maxPenalty())));
      case ABANDONED -> {}
      default -> throw new IllegalArgumentException("unknown outcome " + outcome);
    }
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
