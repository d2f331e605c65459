package io.hawthornlb.gateway.front;

import io.hawthornlb.gateway.store.LogFreshness;
import java.time.Instant;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;

/** Proof of a log that has never been read. */
final class UnprovenLog implements LogFreshness {

  @Override
  public Instant freshAsOf() {
    return Instant.MIN;
  }

  @Override
  public CompletionStage<Void> refresh() {
    return CompletableFuture.failedFuture(new IllegalStateException("no log"));
  }
}
