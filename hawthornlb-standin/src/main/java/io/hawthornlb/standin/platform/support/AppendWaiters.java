package io.hawthornlb.standin.platform.support;

import java.time.Duration;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;

/** Notifies long polls when records are appended to a stream. Thread-safe. */
public final class AppendWaiters {

  private final Map<String, CompletableFuture<Void>> next = new ConcurrentHashMap<>();

  /** Returns a future that completes at the next append to a stream. */
  public CompletableFuture<Void> nextAppend(String stream) {
    return next.computeIfAbsent(stream, unused -> new CompletableFuture<>());
  }

  /** Completes the future of the next append to a stream. */
  public void notifyAppended(String stream) {
    CompletableFuture<Void> waiting = next.remove(stream);
    if (waiting != null) {
      waiting.complete(null);
    }
  }

  /** Returns a future that completes with {@code appended} or after a time limit. */
  public CompletableFuture<Void> withTimeout(CompletableFuture<Void> appended, Duration limit) {
    // All readers of a stream share one future. The timeout of one reader completes a copy, so that
    // the other readers keep waiting.
    return appended.copy().completeOnTimeout(null, limit.toMillis(), TimeUnit.MILLISECONDS);
  }
}
