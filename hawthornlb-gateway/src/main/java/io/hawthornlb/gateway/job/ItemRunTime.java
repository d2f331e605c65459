package io.hawthornlb.gateway.job;

import io.hawthornlb.core.model.WorkspaceId;
import io.hawthornlb.core.work.WorkSize;
import java.time.Duration;
import java.util.Optional;
import org.jspecify.annotations.Nullable;

/** Estimates how long one item still runs, and passes on how long it ran. */
final class ItemRunTime {

  private final ItemEstimates estimates;
  private final RunEstimate mean;
  private final ItemRoute route;
  private final WorkSize size;
  private final @Nullable WorkspaceId workspace;

  /**
   * Creates the estimate of an item.
   *
   * @param estimates estimates by size, for the services where they are in effect
   * @param mean mean run time of all items of the partition
   * @param size size that the item states
   * @param workspace workspace of the caller; null if the caller was anonymous
   */
  ItemRunTime(
      ItemEstimates estimates,
      RunEstimate mean,
      ItemRoute route,
      WorkSize size,
      @Nullable WorkspaceId workspace) {
    this.estimates = estimates;
    this.mean = mean;
    this.route = route;
    this.size = size;
    this.workspace = workspace;
  }

  /** Returns the size that the item states. */
  WorkSize size() {
    return size;
  }

  /** Returns the mean run time of all items of the partition. */
  RunEstimate mean() {
    return mean;
  }

  /** Returns the time for which the item still has to run after some events. */
  Duration remaining(long events) {
    return bySize()
        .map(each -> each.remaining(size, workspace, events))
        .orElseGet(() -> mean.remaining(events));
  }

  /**
   * Passes on that the item is complete.
   *
   * @param ran total time for which the item ran
   * @param lastRan time for which its last attempt ran
   * @param sentWhole whether the last attempt brought all events
   */
  void completed(Duration ran, Duration lastRan, boolean sentWhole, long events) {
    mean.recordCompletion(ran, events);
    bySize()
        .ifPresent(
            each -> {
              if (sentWhole) {
                each.completed(size, workspace, lastRan, events);
              } else {
                each.completedInParts(size, workspace, events);
              }
            });
  }

  private Optional<ItemEstimate> bySize() {
    // Checked first, because all waiting items of a partition are ranked for each request that is
    // sent, and each search for the route would cost a lookup in the configuration.
    return estimates.inEffect()
        ? route.find().flatMap(found -> estimates.of(found.service(0)))
        : Optional.empty();
  }
}
