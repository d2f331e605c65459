package io.hawthornlb.gateway.job;

import io.hawthornlb.gateway.store.LogStore;
import io.hawthornlb.gateway.store.LogStore.KeyedPage;
import io.hawthornlb.gateway.store.LogStore.KeyedRecord;
import io.hawthornlb.gateway.store.LogStore.LogPage;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.Executor;
import org.jspecify.annotations.Nullable;

/**
 * The jobs of one partition as this process has read them.
 *
 * <p>What it holds was written, so results in it may be shown at any time. That a job is missing
 * means something only after {@link #refresh} has read to the end of the log.
 */
final class JobReplica {

  private final LogStore store;
  private final String topic;
  private final int partition;
  private final Executor executor;
  private JobTable table = new JobTable();
  private long offset = -1;
  private @Nullable CompletableFuture<Void> reading;

  JobReplica(LogStore store, String topic, int partition, Executor executor) {
    this.store = store;
    this.topic = topic;
    this.partition = partition;
    this.executor = executor;
  }

  JobTable table() {
    return table;
  }

  /** Takes a record that this process has written. */
  void take(KeyedRecord record) {
    table.take(record);
  }

  /** Reads on to the end of the log; the stage fails if the store cannot be asked. */
  CompletionStage<Void> refresh() {
    return read(Duration.ZERO);
  }

  /** Reads on; at the end of the log it waits for a record. */
  CompletionStage<Void> read(Duration wait) {
    if (offset < 0) {
      return loadOnce();
    }
    return store.read(topic, partition, offset, wait).thenComposeAsync(this::takePage, executor);
  }

  private CompletionStage<Void> takePage(LogPage page) {
    if (page.trimmed()) {
      return loadOnce();
    }
    page.records().forEach(table::take);
    offset = Math.max(offset, page.next());
    return CompletableFuture.completedFuture(null);
  }

  /** Loads everything; callers that come meanwhile share one load. */
  private CompletionStage<Void> loadOnce() {
    CompletableFuture<Void> running = reading;
    if (running != null) {
      return running;
    }
    CompletableFuture<Void> started = new CompletableFuture<>();
    reading = started;
    load(new JobTable(), null, -1, started);
    return started;
  }

  private void load(
      JobTable fresh, @Nullable String after, long firstEnd, CompletableFuture<Void> done) {
    store
        .newest(topic, partition, after)
        .whenCompleteAsync(
            (page, failure) -> {
              if (failure != null) {
                reading = null;
                done.completeExceptionally(failure);
              } else {
                loaded(fresh, page, firstEnd, done);
              }
            },
            executor);
  }

  private void loaded(JobTable fresh, KeyedPage page, long firstEnd, CompletableFuture<Void> done) {
    List<KeyedRecord> records = page.records();
    records.forEach(fresh::take);
    long end = firstEnd < 0 ? page.end() : firstEnd;
    if (page.more() && !records.isEmpty()) {
      load(fresh, records.get(records.size() - 1).key(), end, done);
      return;
    }
    table = fresh;
    offset = end;
    reading = null;
    done.complete(null);
  }
}
