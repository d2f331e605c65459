package io.hawthornlb.gateway.slot.support;

import java.time.Duration;
import java.time.Instant;
import java.util.Comparator;
import java.util.List;
import java.util.Set;
import org.jspecify.annotations.Nullable;

/**
 * Decides which batch item gives its slot to an online request.
 *
 * <p>Items that can no longer finish in time go first. Among the others it is the item that is due
 * last, or, where the estimates are in effect, the one that loses least: an item that has just
 * begun has sent little that its endpoint must process again, and an item that is nearly done frees
 * its slot soon without being revoked.
 */
final class ItemRevocation {

  /** Share of its work below which an item is nearly done. */
  private static final int NEARLY_DONE = 5;

  /** Orders items that can finish in time before those that cannot, then by due time. */
  private static final Comparator<SlotLease> BY_DUE_TIME =
      Comparator.comparing(SlotLease::late).thenComparing(SlotLease::rank);

  private final ServiceEstimates estimates;

  ItemRevocation(ServiceEstimates estimates) {
    this.estimates = estimates;
  }

  /** Returns the item to revoke at one of the given endpoints; null if none runs there. */
  @Nullable SlotLease choose(List<SlotLease> items, Set<String> endpoints, Instant now) {
    Comparator<SlotLease> order = estimates.active() ? byLoss(now) : BY_DUE_TIME;
    @Nullable SlotLease last = null;
    for (SlotLease item : items) {
      boolean fits = endpoints.contains(item.endpoint());
      if (fits && (last == null || order.compare(item, last) > 0)) {
        last = item;
      }
    }
    return last;
  }

  /** Orders items by the loss of revoking them, the greatest first. */
  private static Comparator<SlotLease> byLoss(Instant now) {
    return Comparator.comparing(SlotLease::late)
        .thenComparing(item -> !nearlyDone(item, now))
        .thenComparing(SlotLease::since)
        .thenComparing(SlotLease::rank);
  }

  private static boolean nearlyDone(SlotLease item, Instant now) {
    Duration left = item.remainingWork(now);
    return left.multipliedBy(NEARLY_DONE).compareTo(item.work()) < 0;
  }
}
