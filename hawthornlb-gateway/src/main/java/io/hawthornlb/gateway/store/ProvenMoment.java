package io.hawthornlb.gateway.store;

import java.time.Instant;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.Executor;

/** The moment up to which a follower has read, and those who wait for a later one. */
final class ProvenMoment {

  private final Executor executor;
  private CompletableFuture<Void> next = new CompletableFuture<>();
  private Instant latest = Instant.MIN;

  /** Creates a moment before all others; whoever waits is told on the executor. */
  ProvenMoment(Executor executor) {
    this.executor = executor;
  }

  /** Returns the moment. */
  Instant latest() {
    return latest;
  }

  /** Returns a stage that ends with the next proof, and fails if the store does not answer. */
  CompletionStage<Void> next() {
    return next;
  }

  /** Takes when a call began that has reached the end of the log. */
  void proven(Instant begun) {
    latest = begun.isAfter(latest) ? begun : latest;
    CompletableFuture<Void> awaited = next;
    next = new CompletableFuture<>();
    // Whoever asks for another proof is to find the next call begun.
    executor.execute(() -> awaited.complete(null));
  }

  /** Takes that the store does not answer. */
  void lost(StoreException failure) {
    CompletableFuture<Void> awaited = next;
    next = new CompletableFuture<>();
    awaited.completeExceptionally(failure);
  }
}
