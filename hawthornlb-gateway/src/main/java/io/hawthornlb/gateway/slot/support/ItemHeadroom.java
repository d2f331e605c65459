package io.hawthornlb.gateway.slot.support;

import io.hawthornlb.gateway.slot.SlotRequest;
import java.time.Duration;
import java.time.Instant;

/**
 * Decides whether a batch item may take a slot now and leave enough slots for online requests.
 *
 * <p>At peak load the number of online requests fluctuates around its mean by about the square root
 * of the mean. An item that takes a slot in each dip is revoked a moment later and has cost the
 * endpoint the processing of a prompt. So as many slots as this square root, times a factor, stay
 * free. Before the peak of a recognized load cycle, which raises demand by more than a fluctuation,
 * as many slots stay free as online requests will need in addition.
 */
final class ItemHeadroom {

  /**
   * Time before a peak from which on its slots stay free. A preempted item resumes after its last
   * event and loses its prompt only, so slots that stay idle for longer cost more: if they stayed
   * free for the whole run time of an item, half of the items would be late in ContendedReplay when
   * a fifth of the endpoints is lost.
   */
  private static final Duration LOOKAHEAD = Duration.ofMillis(500);

  private final SlotSettings settings;
  private final SlotLeases leases;
  private final ServiceEstimates estimates;

  ItemHeadroom(SlotSettings settings, SlotLeases leases, ServiceEstimates estimates) {
    this.settings = settings;
    this.leases = leases;
    this.estimates = estimates;
  }

  /**
   * Returns whether an item may take a slot.
   *
   * @param free number of free slots at the endpoints that may get the item
   */
  boolean allows(SlotRequest item, int free, Instant now) {
    if (free <= settings.itemReserve() * Math.sqrt(leases.online())) {
      return false;
    }
    if (!estimates.active()) {
      return true;
    }
    Duration ahead = item.work().compareTo(LOOKAHEAD) < 0 ? item.work() : LOOKAHEAD;
    double growth =
        estimates.demand().slotsNeeded(now, ahead)
            - estimates.demand().slotsNeeded(now, Duration.ZERO);
    return free - 1 >= growth;
  }
}
