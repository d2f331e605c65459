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
 * Hands the unwritten records of a former holder of a partition over to the next holder.
 *
 * <p>The store may be unavailable for seconds while items complete, and another process may hold
 * the partition when the store is back. The store then refuses the former holder's results, as it
 * refuses all appends of that holder, and the items would run a second time from the start.
 * Therefore the former holder writes each result once more as an offer: without a position and
 * without the former holder's epoch. The new holder lists the offered result at a position, unless
 * the item has a result by then.
 */
final class Relinquishment {

  /** Pause before a failed append is retried. */
  private static final Duration RETRY_PAUSE = Duration.ofMillis(200);

  /** Time after which the records are given up; the items have run again by then. */
  private static final Duration GIVE_UP_AFTER = Duration.ofSeconds(8);

  private final JobParts parts;
  private final int partition;
  private final Deque<List<KeyedRecord>> remainingParts;
  private final Instant deadline;

  Relinquishment(JobParts parts, int partition, List<KeyedRecord> records) {
    this.parts = parts;
    this.partition = partition;
    this.remainingParts = new ArrayDeque<>(AppendSize.parts(records));
    this.deadline = parts.clock().instant().plus(GIVE_UP_AFTER);
  }

  /** Appends the records, one part after the other. Appending a part twice does no harm. */
  void write() {
    List<KeyedRecord> records = remainingParts.peek();
    if (records == null) {
      return;
    }
    parts
        .store()
        .append(new AppendCall(JobReplicas.TOPIC, partition, records, null))
        .whenCompleteAsync(
            (done, failure) -> {
              if (failure == null) {
                logAppend("partition.relinquished", records.size(), null);
                remainingParts.remove();
                write();
              } else if (parts.clock().instant().isBefore(deadline)) {
                logAppend("partition.relinquish.failed", records.size(), failure);
                parts
                    .executor()
                    .schedule(this::write, RETRY_PAUSE.toMillis(), TimeUnit.MILLISECONDS);
              } else {
                logAppend("partition.relinquished.in.vain", records.size(), failure);
              }
            },
            parts.executor());
  }

  private void logAppend(String event, int count, @Nullable Throwable failure) {
    parts
        .log()
        .important("job", event)
        .with("partition", partition)
        .with("records", count)
        .with("cause", failure == null ? null : failure.getMessage())
        .write();
  }
}
