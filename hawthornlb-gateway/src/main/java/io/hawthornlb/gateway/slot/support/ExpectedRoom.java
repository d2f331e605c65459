package io.hawthornlb.gateway.slot.support;

import io.hawthornlb.core.demand.DemandForecast;
import java.time.Duration;
import java.time.Instant;

/** Estimates how many slots new online requests leave free at a later time. */
final class ExpectedRoom {

  /** The smallest part of all slots that is told apart is a sixteenth. */
  private static final int SMALLEST_PART = 16;

  private final DemandForecast demand;
  private final int slots;

  /**
   * Creates an estimate.
   *
   * @param slots number of slots of all endpoints
   */
  ExpectedRoom(DemandForecast demand, int slots) {
    this.demand = demand;
    this.slots = slots;
  }

  /** Returns the number of slots expected to be free after a time; a half of all at most. */
  int after(Duration time, Instant now) {
    for (int part = 2; part <= SMALLEST_PART; part *= 2) {
      int free = slots / part;
      if (free > 0 && demand.untilRoom(slots - free, now).compareTo(time) <= 0) {
        return free;
      }
    }
    return 0;
  }
}
