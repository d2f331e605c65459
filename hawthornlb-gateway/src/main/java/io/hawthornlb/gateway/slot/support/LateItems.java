package io.hawthornlb.gateway.slot.support;

import io.hawthornlb.gateway.slot.SlotRequest;
import java.time.Duration;
import java.time.Instant;

/**
 * Moves batch items that can no longer finish in time behind the other items, both running and
 * waiting ones.
 *
 * <p>After an outage more items wait than can finish in time. If items ran strictly by due time,
 * each would get its slot a little too late, and so would all items behind it. Items become late
 * while they wait, or while they run during a load peak, so their holders, which report the
 * remaining work only once, do not notice it.
 */
final class LateItems {

  /**
   * Time between two updates; a fraction of the time for which an item of some seconds still has to
   * run.
   */
  private static final Duration UPDATE_INTERVAL = Duration.ofMillis(100);

  private final SlotLeases leases;
  private final WaitingRequests waiting;
  private Instant updated = Instant.EPOCH;

  LateItems(SlotLeases leases, WaitingRequests waiting) {
    this.leases = leases;
    this.waiting = waiting;
  }

  /** Recomputes which items are late, if the last update is old. */
  void update(Instant now) {
    if (now.isBefore(updated.plus(UPDATE_INTERVAL))) {
      return;
    }
    updated = now;
    for (SlotLease lease : leases.items()) {
      leases.put(lease.withLate(late(lease.rank(), lease.remainingWork(now), now)));
    }
    for (Waiter waiter : waiting.items()) {
      boolean late = late(waiter.request(), now);
      if (late != waiter.late()) {
        waiting.replace(waiter, waiter.withLate(late));
      }
    }
  }

  /** Returns whether a request belongs to an item that can no longer finish in time. */
  boolean late(SlotRequest request, Instant now) {
    return request.batch() && late(request.rank(), request.work(), now);
  }

  private static boolean late(long dueMillis, Duration work, Instant now) {
    return now.plus(work).toEpochMilli() > dueMillis;
  }
}
