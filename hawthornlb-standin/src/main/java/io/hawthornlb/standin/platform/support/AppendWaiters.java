package io.hawthornlb.standin.platform.support;

import java.time.Duration;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;

/** Wakes long polls when a stream grows. */
public final class AppendWaiters {

  private final Map<String, CompletableFuture<Void>> next = new ConcurrentHashMap<>();

  /** Returns what completes at the next append to a stream. */
  public CompletableFuture<Void> next(String stream) {
    return next.computeIfAbsent(stream, unused -> new CompletableFuture<>());
  }

  /** Completes what waits for this stream. */
  public void wake(String stream) {
    CompletableFuture<Void> waiting = next.remove(stream);
    if (waiting != null) {
      waiting.complete(null);
    }
  }

  /** Returns what completes with {@code appended}, or after a limit. */
  public CompletableFuture<Void> within(CompletableFuture<Void> appended, Duration limit) {
    // A copy, as the time limit of one reader must not end the wait of the others.
    return appended.copy().completeOnTimeout(null, limit.toMillis(), TimeUnit.MILLISECONDS);
  }
}
