package io.hawthornlb.core.batch.support;

import io.hawthornlb.core.batch.BatchItem;
import io.hawthornlb.core.batch.ItemOrder;
import io.hawthornlb.core.model.JobId;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.TreeSet;
import org.jspecify.annotations.Nullable;

/**
 * Items that wait at a dispatcher. Urgent items go first; otherwise the jobs take turns.
 *
 * <p>Preempted items go before the other items of their job, because part of their work is done.
 */
final class ItemQueue {

  private final Map<JobId, TreeSet<BatchItem>> jobs = new TreeMap<>();
  private final Map<JobId, Long> turns = new HashMap<>();
  private final Map<BatchItem, Instant> waitingSince = new HashMap<>();
  private long turn;

  void add(BatchItem item, Instant now) {
    jobs.computeIfAbsent(item.ref().job(), key -> new TreeSet<>(ItemOrder.COMPARATOR)).add(item);
    waitingSince.put(item, now);
    // A new job joins the current round of turns: it neither waits for all other jobs nor goes
    // before them.
    turns.putIfAbsent(item.ref().job(), turn);
  }

  int size() {
    return waitingSince.size();
  }

  /** Removes and returns the next item; returns null if the queue is empty. */
  @Nullable BatchItem poll(Duration perItem, Instant now) {
    BatchItem next = null;
    for (TreeSet<BatchItem> items : jobs.values()) {
      BatchItem head = head(items);
      if (next == null || before(head, next, perItem, now)) {
        next = head;
      }
    }
    if (next != null) {
      remove(next);
      turns.put(next.ref().job(), ++turn);
    }
    return next;
  }

  /** Removes and returns the preempted items that have waited since before a time. */
  List<BatchItem> removePreemptedBefore(Instant time) {
    List<BatchItem> removed = new ArrayList<>();
    waitingSince.forEach(
        (item, at) -> {
          if (item.generated() > 0 && at.isBefore(time)) {
            removed.add(item);
          }
        });
    removed.forEach(this::remove);
    return removed;
  }

  /** Removes and returns all items. */
  List<BatchItem> removeAll() {
    List<BatchItem> all = new ArrayList<>(waitingSince.keySet());
    all.sort(ItemOrder.COMPARATOR);
    jobs.clear();
    waitingSince.clear();
    return all;
  }

  private boolean before(BatchItem item, BatchItem other, Duration perItem, Instant now) {
    boolean urgent = ItemOrder.urgent(item, perItem, now);
    boolean otherUrgent = ItemOrder.urgent(other, perItem, now);
    if (urgent != otherUrgent) {
      return urgent;
    }
    if (urgent) {
      return ItemOrder.COMPARATOR.compare(item, other) < 0;
    }
    return turns.getOrDefault(item.ref().job(), 0L) < turns.getOrDefault(other.ref().job(), 0L);
  }

  private static BatchItem head(TreeSet<BatchItem> items) {
    for (BatchItem item : items) {
      if (item.generated() > 0) {
        return item;
      }
    }
    return items.first();
  }

  private void remove(BatchItem item) {
    TreeSet<BatchItem> items = jobs.get(item.ref().job());
    if (items != null) {
      items.remove(item);
      if (items.isEmpty()) {
        jobs.remove(item.ref().job());
        turns.remove(item.ref().job());
      }
    }
    waitingSince.remove(item);
  }
}
