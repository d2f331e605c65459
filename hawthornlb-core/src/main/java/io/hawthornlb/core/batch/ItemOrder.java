package io.hawthornlb.core.batch;

import java.time.Duration;
import java.time.Instant;
import java.util.Comparator;

/**
 * Orders batch items by due time and age.
 *
 * <p>The key of an item is its due time plus a weighted acceptance time of its job, so that items
 * of older jobs move forward. The key does not change with time, so queues stay sorted, and a job
 * that is accepted later with an earlier due time overtakes an older job only by a bounded time.
 */
public final class ItemOrder {

  private static final double AGE_WEIGHT = 0.5;

  /** The order in which items are started. */
  public static final Comparator<BatchItem> COMPARATOR =
      Comparator.comparingDouble(ItemOrder::key)
          .thenComparing(item -> item.ref().job())
          .thenComparingInt(item -> item.ref().index());

  private ItemOrder() {}

  /** Returns the key of an item; items with smaller keys go first. */
  public static double key(BatchItem item) {
    return item.due().toEpochMilli() + AGE_WEIGHT * item.acceptedAt().toEpochMilli();
  }

  /**
   * Returns whether an item must start now for its job to finish in time.
   *
   * @param perItem time that each remaining item of the job takes at the current rate
   */
  public static boolean urgent(BatchItem item, Duration perItem, Instant now) {
    Duration left = Duration.between(now, item.due());
    return left.compareTo(perItem.multipliedBy(Math.max(1, item.remaining()))) <= 0;
  }
}
