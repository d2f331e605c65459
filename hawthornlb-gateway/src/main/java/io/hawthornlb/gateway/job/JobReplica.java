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
 * Replica of the jobs of one partition, as far as this process has read the log.
 *
 * <p>The replica contains only what was written, so its results may be returned at any time. Only
 * after {@link #refresh} has read to the end of the log does a missing job mean that the job does
 * not exist.
 *
 * <p>The store may lose its history, and the list of newest records that is loaded instead may be
 * older than what this process has written since. If the list replaced the replica, the position of
 * a result could be assigned a second time. Therefore a list is merged into the known jobs. It
 * removes only jobs that were known before the list was requested.
 */
final class JobReplica {

  private final LogStore store;
  private final String topic;
  private final int partition;
  private final Executor executor;
  private final JobTable table = new JobTable();
  private final LoadLimiter loadLimiter;
  private long offset = -1;
  private long readsBegun;
  private long lastCaughtUpRead;
  private boolean followed;
  private Runnable writtenHere = () -> {};
  private boolean awaited;
  private CompletableFuture<Void> nextRead = new CompletableFuture<>();
  private @Nullable CompletableFuture<Void> loading;
  private @Nullable Listing unfinished;

  JobReplica(
      LogStore store, String topic, int partition, LoadLimiter loadLimiter, Executor executor) {
    this.store = store;
    this.loadLimiter = loadLimiter;
    this.topic = topic;
    this.partition = partition;
    this.executor = executor;
  }

  JobTable table() {
    return table;
  }

  /** Applies records that a caller's request has had this process write. */
  void applyWritten(List<KeyedRecord> records) {
    records.forEach(table::apply);
    writtenHere.run();
  }

  /** Sets the listener that runs after such records, which the log brings only later. */
  void onWrittenHere(Runnable listener) {
    writtenHere = listener;
  }

  /** Applies a record that this process has written. */
  void apply(KeyedRecord record) {
    table.apply(record);
  }

  /**
   * Reads up to the end that the log has at the time of the call, or a later one. The stage fails
   * if the store cannot be reached.
   */
  CompletionStage<Void> refresh() {
    return read(Duration.ZERO);
  }

  /**
   * Reads up to the end of the log, and waits there for a new record for at most the given time.
   */
  CompletionStage<Void> read(Duration wait) {
    // A load in progress began before this call, so the log is read on after the load.
    return loaded().thenComposeAsync(any -> readToEnd(wait), executor);
  }

  /** Sets whether the holder of the partition reads the log continuously. */
  void followed(boolean reading) {
    followed = reading;
  }

  /** Returns whether the log is read continuously, so that {@link #nextRead()} completes soon. */
  boolean followed() {
    return followed;
  }

  /** Returns the number of reads that have begun, as an argument of {@link #caughtUpSince}. */
  long readsBegun() {
    return readsBegun;
  }

  /**
   * Returns whether a read that began later than the given number of reads has reached the end of
   * the log.
   */
  boolean caughtUpSince(long readsBefore) {
    return lastCaughtUpRead > readsBefore;
  }

  /**
   * Returns a stage that completes with the next read that brings records or reaches the end of the
   * log.
   */
  CompletionStage<Void> nextRead() {
    awaited = true;
    return nextRead;
  }

  /** Returns whether {@link #nextRead()} was called since the last read began. */
  boolean awaited() {
    return awaited;
  }

  private CompletionStage<Void> readToEnd(Duration wait) {
    readsBegun++;
    awaited = false;
    long number = readsBegun;
    return readPage(wait, number);
  }

  private CompletionStage<Void> readPage(Duration wait, long number) {
    return store
        .read(topic, partition, offset, wait)
        .thenComposeAsync(page -> applyPage(page, number), executor);
  }

  private CompletionStage<Void> applyPage(LogPage page, long number) {
    if (page.trimmed()) {
      return load().thenComposeAsync(any -> readPage(Duration.ZERO, number), executor);
    }
    page.records().forEach(table::apply);
    offset = Math.max(offset, page.next());
    if (page.more()) {
      return readPage(Duration.ZERO, number);
    }
    lastCaughtUpRead = Math.max(lastCaughtUpRead, number);
    CompletableFuture<Void> finished = nextRead;
    nextRead = new CompletableFuture<>();
    finished.complete(null);
    return CompletableFuture.completedFuture(null);
  }

  private CompletionStage<Void> loaded() {
    return offset < 0 || loading != null ? load() : CompletableFuture.completedFuture(null);
  }

  /** Loads the list of newest records; concurrent callers share one load. */
  private CompletionStage<Void> load() {
    CompletableFuture<Void> running = loading;
    if (running != null) {
      return running;
    }
    CompletableFuture<Void> started = new CompletableFuture<>();
    loading = started;
    loadLimiter.enter(() -> loadPage(resumedOrNew(), started));
    return started;
  }

  /**
   * State of a load.
   *
   * @param knownBefore ids of the jobs that were known before the load began
   * @param listed ids of the jobs found so far
   * @param end end of the log when the load began; negative before the first page
   * @param after key after which the load continues; null for the first page
   */
  private record Listing(
      Set<String> knownBefore, Set<String> listed, long end, @Nullable String after) {}

  /**
   * Returns the state from which a load continues.
   *
   * <p>On a slow link a page may miss its timeout. If the next load began with the first page
   * again, the partition might never be loaded, and its jobs could not be read meanwhile. Therefore
   * a load continues after the last page that arrived. Changes made meanwhile are read from the
   * log, from the end that the first page named; if the store has trimmed that part of the log, the
   * load begins again.
   */
  private Listing resumedOrNew() {
    Listing resumed = unfinished;
    return resumed != null ? resumed : new Listing(table.jobIds(), new HashSet<>(), -1, null);
  }

  private void loadPage(Listing listing, CompletableFuture<Void> done) {
    store
        .newest(topic, partition, listing.after())
        .whenCompleteAsync(
            (page, failure) -> {
              if (failure != null) {
                unfinished = listing;
                endLoad();
                done.completeExceptionally(failure);
              } else {
                applyList(listing, page, done);
              }
            },
            executor);
  }

  private void applyList(Listing listing, KeyedPage page, CompletableFuture<Void> done) {
    List<KeyedRecord> records = page.records();
    for (KeyedRecord record : records) {
      table.apply(record);
      JobRecords.jobId(record.key()).ifPresent(listing.listed()::add);
    }
    long end = listing.end() < 0 ? page.end() : listing.end();
    if (page.more() && !records.isEmpty()) {
      String last = records.get(records.size() - 1).key();
      loadPage(new Listing(listing.knownBefore(), listing.listed(), end, last), done);
      return;
    }
    listing.knownBefore().stream()
        .filter(jobId -> !listing.listed().contains(jobId))
        .forEach(table::drop);
    offset = Math.max(offset, end);
    unfinished = null;
    endLoad();
    done.complete(null);
  }

  private void endLoad() {
    loading = null;
    loadLimiter.leave();
  }
}
