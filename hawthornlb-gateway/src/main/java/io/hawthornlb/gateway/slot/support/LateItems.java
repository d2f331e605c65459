package io.hawthornlb.gateway.slot.support;

import io.hawthornlb.gateway.slot.SlotRequest;
import java.time.Duration;
import java.time.Instant;

/**
 * Puts batch items that can no longer be in time behind the others, those that run and those that
 * wait.
 *
 * <p>Load pattern: after an outage more items wait than can be done in time. In the order of their
 * due times each gets its slots a little too late, and so do all behind it. Items become late while
 * they wait or run beside a crest, so that their holders, who tell once what is left, don't know.
 */
final class LateItems {

  /** Time between two looks; a fraction of what an item of some seconds still has to run. */
  private static final Duration LOOK_EVERY = Duration.ofMillis(100);

  private final SlotLeases leases;
  private final WaitingRequests waiting;
  private Instant looked = Instant.EPOCH;

  LateItems(SlotLeases leases, WaitingRequests waiting) {
    this.leases = leases;
    this.waiting = waiting;
  }

  /** Looks at all items again if the last look is old. */
  void look(Instant now) {
    if (now.isBefore(looked.plus(LOOK_EVERY))) {
      return;
    }
    looked = now;
    for (SlotLease lease : leases.items()) {
      leases.hold(lease.withLate(late(lease.rank(), lease.left(now), now)));
    }
    for (Waiter waiter : waiting.items()) {
      boolean late = late(waiter.request(), now);
      if (late != waiter.late()) {
        waiting.replace(waiter, waiter.withLate(late));
      }
    }
  }

  /** Returns whether a request is one of an item that can no longer be in time. */
  boolean late(SlotRequest request, Instant now) {
    return request.batch() && late(request.rank(), request.work(), now);
  }

  private static boolean late(long dueMillis, Duration work, Instant now) {
    return now.plus(work).toEpochMilli() > dueMillis;
  }
}
