package io.hawthornlb.gateway.job;

import io.hawthornlb.gateway.store.LogStore;
import io.hawthornlb.gateway.store.LogStore.KeyedPage;
import io.hawthornlb.gateway.store.LogStore.KeyedRecord;
import io.hawthornlb.gateway.store.LogStore.LogPage;
import java.time.Duration;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.Executor;
import org.jspecify.annotations.Nullable;

/**
 * The jobs of one partition as this process has read them.
 *
 * <p>What it holds was written, so results in it may be shown at any time. That a job is missing
 * means something only after {@link #refresh} has read to the end of the log.
 *
 * <p>Failure: the store forgets its history, and the list that is loaded instead is older than what
 * this process wrote meanwhile. It would show as a result whose position is given out again. Guard:
 * a list is merged into what is known, and takes away only jobs that were known before it was asked
 * for.
 */
final class JobReplica {

  private final LogStore store;
  private final String topic;
  private final int partition;
  private final Executor executor;
  private final JobTable table = new JobTable();
  private long offset = -1;
  private @Nullable CompletableFuture<Void> loading;

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

  /**
   * Reads on to the end that the log has when this is called, or a later one; the stage fails if
   * the store cannot be asked.
   */
  CompletionStage<Void> refresh() {
    return read(Duration.ZERO);
  }

  /** Reads on to the end of the log; at the end it waits for a record. */
  CompletionStage<Void> read(Duration wait) {
    // A list that is being loaded began before this call, so the log is read behind it.
    return loaded().thenComposeAsync(any -> readOn(wait), executor);
  }

  private CompletionStage<Void> readOn(Duration wait) {
    return store.read(topic, partition, offset, wait).thenComposeAsync(this::takePage, executor);
  }

  private CompletionStage<Void> takePage(LogPage page) {
    if (page.trimmed()) {
      return load().thenComposeAsync(any -> readOn(Duration.ZERO), executor);
    }
    page.records().forEach(table::take);
    offset = Math.max(offset, page.next());
    return page.more() ? readOn(Duration.ZERO) : CompletableFuture.completedFuture(null);
  }

  private CompletionStage<Void> loaded() {
    return offset < 0 || loading != null ? load() : CompletableFuture.completedFuture(null);
  }

  /** Loads the list of newest records; callers that come meanwhile share one load. */
  private CompletionStage<Void> load() {
    CompletableFuture<Void> running = loading;
    if (running != null) {
      return running;
    }
    CompletableFuture<Void> started = new CompletableFuture<>();
    loading = started;
    loadPage(new Listing(table.jobIds(), new HashSet<>(), -1), null, started);
    return started;
  }

  /** What a load has found so far: jobs known before, jobs listed, end of the log at its start. */
  private record Listing(Set<String> knownBefore, Set<String> listed, long end) {}

  private void loadPage(Listing listing, @Nullable String after, CompletableFuture<Void> done) {
    store
        .newest(topic, partition, after)
        .whenCompleteAsync(
            (page, failure) -> {
              if (failure != null) {
                loading = null;
                done.completeExceptionally(failure);
              } else {
                takeList(listing, page, done);
              }
            },
            executor);
  }

  private void takeList(Listing listing, KeyedPage page, CompletableFuture<Void> done) {
    List<KeyedRecord> records = page.records();
    for (KeyedRecord record : records) {
      table.take(record);
      listing.listed().add(JobRecords.key(record.key()).jobId());
    }
    long end = listing.end() < 0 ? page.end() : listing.end();
    if (page.more() && !records.isEmpty()) {
      Listing further = new Listing(listing.knownBefore(), listing.listed(), end);
      loadPage(further, records.get(records.size() - 1).key(), done);
      return;
    }
    listing.knownBefore().stream()
        .filter(jobId -> !listing.listed().contains(jobId))
        .forEach(table::drop);
    offset = Math.max(offset, end);
    loading = null;
    done.complete(null);
  }
}
