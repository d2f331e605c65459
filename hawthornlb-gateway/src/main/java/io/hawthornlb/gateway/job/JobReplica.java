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
  private final LoadGate gate;
  private long offset = -1;
  private long readsBegun;
  private long lastProof;
  private boolean followed;
  private boolean awaited;
  private CompletableFuture<Void> nextRead = new CompletableFuture<>();
  private @Nullable CompletableFuture<Void> loading;
  private @Nullable Listing unfinished;

  JobReplica(LogStore store, String topic, int partition, LoadGate gate, Executor executor) {
    this.store = store;
    this.gate = gate;
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

  /** Sets whether the holder of the partition reads on all the time. */
  void followed(boolean reading) {
    followed = reading;
  }

  /** Returns whether reads go on by themselves, so that {@link #nextRead()} ends soon. */
  boolean followed() {
    return followed;
  }

  /** Returns the number of reads that have begun, for {@link #provenSince}. */
  long readsBegun() {
    return readsBegun;
  }

  /** Returns whether a read that began after a number of others has reached the end of the log. */
  boolean provenSince(long begun) {
    return lastProof > begun;
  }

  /** Returns a stage that ends with the next read that brings something or reaches the end. */
  CompletionStage<Void> nextRead() {
    awaited = true;
    return nextRead;
  }

  /** Returns whether {@link #nextRead()} was called since the last read began. */
  boolean awaited() {
    return awaited;
  }

  private CompletionStage<Void> readOn(Duration wait) {
    readsBegun++;
    awaited = false;
    long number = readsBegun;
    return readPage(wait, number);
  }

  private CompletionStage<Void> readPage(Duration wait, long number) {
    return store
        .read(topic, partition, offset, wait)
        .thenComposeAsync(page -> takePage(page, number), executor);
  }

  private CompletionStage<Void> takePage(LogPage page, long number) {
    if (page.trimmed()) {
      return load().thenComposeAsync(any -> readPage(Duration.ZERO, number), executor);
    }
    page.records().forEach(table::take);
    offset = Math.max(offset, page.next());
    if (page.more()) {
      return readPage(Duration.ZERO, number);
    }
    lastProof = Math.max(lastProof, number);
    CompletableFuture<Void> ended = nextRead;
    nextRead = new CompletableFuture<>();
    ended.complete(null);
    return CompletableFuture.completedFuture(null);
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
    gate.enter(() -> loadPage(begunOrNew(), started));
    return started;
  }

  /**
   * What a load has found so far.
   *
   * @param knownBefore jobs that were known before it began
   * @param listed jobs that it has found
   * @param end end of the log when it began; negative before the first page
   * @param after key behind which it goes on; null for the first page
   */
  private record Listing(
      Set<String> knownBefore, Set<String> listed, long end, @Nullable String after) {}

  /**
   * Returns where a load goes on.
   *
   * <p>Failure: a page does not come in time on a small link, and the next load begins with the
   * first page again. It shows as a partition that is never loaded while its jobs cannot be read.
   * Guard: a load goes on behind the last page that came. What changed meanwhile is read from the
   * log behind the end that the first page named; if that part is gone the load begins anew.
   */
  private Listing begunOrNew() {
    Listing begun = unfinished;
    return begun != null ? begun : new Listing(table.jobIds(), new HashSet<>(), -1, null);
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
                takeList(listing, page, done);
              }
            },
            executor);
  }

  private void takeList(Listing listing, KeyedPage page, CompletableFuture<Void> done) {
    List<KeyedRecord> records = page.records();
    for (KeyedRecord record : records) {
      table.take(record);
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
    gate.leave();
  }
}
