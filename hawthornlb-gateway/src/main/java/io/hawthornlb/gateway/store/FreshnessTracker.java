package io.hawthornlb.gateway.store;

import java.time.Instant;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.Executor;

/**
 * Tracks the time up to which a follower has read the log, and notifies those who wait for a later
 * one.
 */
final class FreshnessTracker {

  private final Executor executor;
  private CompletableFuture<Void> next = new CompletableFuture<>();
  private Instant latest = Instant.MIN;

  /** Creates a tracker before the first read. Waiting stages complete on the executor. */
  FreshnessTracker(Executor executor) {
    this.executor = executor;
  }

  /** Returns the latest time such that everything written before it was read. */
  Instant latest() {
    return latest;
  }

  /**
   * Returns a stage that completes with the next read that reaches the end of the log, and fails if
   * the store is unavailable.
   */
  CompletionStage<Void> next() {
    return next;
  }

  /**
   * Records a read that has reached the end of the log.
   *
   * @param begun when the read began
   */
  void caughtUp(Instant begun) {
    latest = begun.isAfter(latest) ? begun : latest;
    CompletableFuture<Void> waiting = next;
    next = new CompletableFuture<>();
    // Completes on the executor, so that the follower's next call has begun when a waiting caller
    // requests another read.
    executor.execute(() -> waiting.complete(null));
  }

  /** Fails the waiting stages, since the store is unavailable. */
  void storeUnavailable(StoreException failure) {
    CompletableFuture<Void> waiting = next;
    next = new CompletableFuture<>();
    waiting.completeExceptionally(failure);
  }
}
