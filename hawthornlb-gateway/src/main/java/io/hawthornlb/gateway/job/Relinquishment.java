package io.hawthornlb.gateway.job;

import io.hawthornlb.gateway.store.LogStore.AppendCall;
import io.hawthornlb.gateway.store.LogStore.KeyedRecord;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.jspecify.annotations.Nullable;

/**
 * Leaves what a process that no longer holds a partition has of it to the next holder.
 *
 * <p>Failure: the store is away for seconds, items end meanwhile, and another process holds the
 * partition when it is back. It shows as items that run a second time, whole, because their results
 * were refused with everything else that the former holder wrote. Guard: a result is written once
 * more without a position and without the former holder's epoch; whoever holds the partition gives
 * it one, unless the item has one by then.
 */
final class Relinquishment {

  /** Pause before the records are written again after a failure. */
  private static final Duration REPEAT = Duration.ofMillis(200);

  /** Time after which they are given up; an item has run again by then. */
  private static final Duration PATIENCE = Duration.ofSeconds(8);

  private final JobParts parts;
  private final int partition;
  private final Deque<List<KeyedRecord>> left;
  private final Instant until;

  Relinquishment(JobParts parts, int partition, List<KeyedRecord> records) {
    this.parts = parts;
    this.partition = partition;
    this.left = new ArrayDeque<>(AppendSize.parts(records));
    this.until = parts.clock().instant().plus(PATIENCE);
  }

  /** Writes the records, one part after the other; taking one twice does no harm. */
  void write() {
    List<KeyedRecord> records = left.peek();
    if (records == null) {
      return;
    }
    parts
        .store()
        .append(new AppendCall(JobReplicas.TOPIC, partition, records, null))
        .whenCompleteAsync(
            (done, failure) -> {
              if (failure == null) {
                logged("partition.relinquished", records.size(), null);
                left.remove();
                write();
              } else if (parts.clock().instant().isBefore(until)) {
                logged("partition.relinquish.failed", records.size(), failure);
                parts.executor().schedule(this::write, REPEAT.toMillis(), TimeUnit.MILLISECONDS);
              } else {
                logged("partition.relinquished.in.vain", records.size(), failure);
              }
            },
            parts.executor());
  }

  private void logged(String event, int count, @Nullable Throwable failure) {
    parts
        .log()
        .important("job", event)
        .with("partition", partition)
        .with("records", count)
        .with("cause", failure == null ? null : failure.getMessage())
        .write();
  }
}
