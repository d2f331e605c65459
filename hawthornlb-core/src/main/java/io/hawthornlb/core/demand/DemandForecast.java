package io.hawthornlb.core.demand;

import java.time.Duration;
import java.time.Instant;
import java.util.Optional;

/** Forecasts the slots of one service that online requests will use in the next seconds. */
public interface DemandForecast {

  /**
   * Records the arrival of an online request.
   *
   * @param work time for which the request is estimated to use a slot
   */
  void arrived(Duration work, Instant now);

  /** Returns the most slots that online requests will use at any moment within a time from now. */
  double slotsNeeded(Instant now, Duration ahead);

  /**
   * Returns the time until online requests are expected to need fewer slots than given; zero if
   * they already do.
   */
  Duration untilRoom(double slots, Instant now);

  /** Returns the present phase of the load cycle; empty unless a cycle is recognized. */
  default Optional<DemandPhase> phase(Instant now) {
    return Optional.empty();
  }

  /** Returns the load cycle that has been learned; empty unless one is recognized. */
  default Optional<LearnedDemand> export(Instant now) {
    return Optional.empty();
  }

  /** Starts from a load cycle that another instance has learned. */
  default void restore(LearnedDemand learned) {}
}
