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
 * Items that wait at a steward: urgent ones first, else the jobs share in turn.
 *
 * <p>Preempted items go before others of their job, because their work is partly done.
 */
final class ItemQueue {

  private final Map<JobId, TreeSet<BatchItem>> jobs = new TreeMap<>();
  private final Map<JobId, Long> turns = new HashMap<>();
  private final Map<BatchItem, Instant> since = new HashMap<>();
  private long turn;

  void add(BatchItem item, Instant now) {
    jobs.computeIfAbsent(item.ref().job(), key -> new TreeSet<>(ItemOrder.COMPARATOR)).add(item);
    since.put(item, now);
    // A new job takes its turn with the others; it neither waits for all nor passes all.
    turns.putIfAbsent(item.ref().job(), turn);
  }

  int size() {
    return since.size();
  }

  /** Removes and returns the next item, or null. */
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
  List<BatchItem> takePreemptedBefore(Instant time) {
    List<BatchItem> taken = new ArrayList<>();
    since.forEach(
        (item, at) -> {
          if (item.generated() > 0 && at.isBefore(time)) {
            taken.add(item);
          }
        });
    taken.forEach(this::remove);
    return taken;
  }

  /** Removes and returns all items. */
  List<BatchItem> takeAll() {
    List<BatchItem> all = new ArrayList<>(since.keySet());
    all.sort(ItemOrder.COMPARATOR);
    jobs.clear();
    since.clear();
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
    since.remove(item);
  }
}
