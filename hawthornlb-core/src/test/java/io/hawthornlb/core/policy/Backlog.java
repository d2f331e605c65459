package io.hawthornlb.core.policy;

import io.hawthornlb.core.batch.BatchItem;
import io.hawthornlb.core.batch.ItemOrder;
import io.hawthornlb.core.batch.ItemRef;
import io.hawthornlb.core.model.JobId;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Optional;
import java.util.Random;

/**
 * Simulates the coordinators of batch jobs: an endless job and, if the scenario has one, a job with
 * a due time.
 */
final class Backlog {

  static final int PREFIX_TOKENS = 600;
  static final int OWN_TOKENS = 200;
  static final int MEAN_OUTPUT = 200;

  private static final JobId ENDLESS = new JobId("filler");
  private static final JobId DUE = new JobId("roster");

  private final boolean inOrder;
  private final Random random;
  private final Deque<BatchItem> returned = new ArrayDeque<>();
  private final Instant due;
  private final int dueItems;
  private int dueDispatched;
  private int dueDone;
  private int dispatched;

  Backlog(Scenario scenario, boolean inOrder, long seed) {
    this.inOrder = inOrder;
    this.random = new Random(seed);
    this.dueItems = scenario.dueJobItems();
    this.due = Instant.EPOCH.plusSeconds(Scenario.WARM_UP + scenario.seconds());
  }

  List<BatchItem> take(int count, Instant now) {
    List<BatchItem> items = new ArrayList<>();
    while (items.size() < count) {
      BatchItem returnedItem = returned.poll();
      items.add(returnedItem == null ? next(now) : returnedItem);
    }
    return items;
  }

  void putBack(List<BatchItem> items) {
    returned.addAll(items);
  }

  void done(ItemRef ref) {
    dueDone += ref.job().equals(DUE) ? 1 : 0;
  }

  int dueLeft() {
    return dueItems - dueDone;
  }

  private BatchItem next(Instant now) {
    dispatched++;
    // In order of acceptance, as in the baseline, the endless job always comes first.
    boolean dueJobFirst = !inOrder && (dispatched % 2 == 0 || dueIsUrgent(now));
    if (dueJobFirst && dueDispatched < dueItems) {
      return item(DUE, dueDispatched++, due, dueItems - dueDone);
    }
    return item(ENDLESS, dispatched, Instant.EPOCH.plusSeconds(8 * 3600), 100_000);
  }

  private boolean dueIsUrgent(Instant now) {
    double seconds = Math.max(1, now.toEpochMilli() / 1e3);
    double itemsPerSecond = Math.max(1e-3, dueDone / seconds);
    Duration perItem = Duration.ofMillis((long) (1e3 / itemsPerSecond));
    BatchItem head = item(DUE, dueDispatched, due, Math.max(1, dueItems - dueDone));
    return ItemOrder.urgent(head, perItem, now);
  }

  private BatchItem item(JobId job, int index, Instant dueAt, int remaining) {
    int output = 100 + random.nextInt(2 * (MEAN_OUTPUT - 100));
    return new BatchItem(
        new ItemRef(job, index),
        Instant.EPOCH,
        dueAt,
        PREFIX_TOKENS + OWN_TOKENS,
        output,
        0,
        Optional.empty(),
        remaining);
  }
}
