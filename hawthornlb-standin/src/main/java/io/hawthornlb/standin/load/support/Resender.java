package io.hawthornlb.standin.load.support;

import io.hawthornlb.standin.report.Outcome;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executor;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.Supplier;

/** Retries requests like a typical caller, if a retry can succeed. */
final class Resender {

  private final int resends;
  private final Duration wait;
  private final Consumer<Outcome> onResend;

  /**
   * Creates a resender.
   *
   * @param resends the maximum number of retries of a request
   * @param wait the delay before a retry if the outcome names no retry delay
   * @param onResend receives the outcome that causes a retry, before that retry
   */
  Resender(int resends, Duration wait, Consumer<Outcome> onResend) {
    this.resends = resends;
    this.wait = wait;
    this.onResend = onResend;
  }

  /** Sends a request and its retries; the future completes with the outcome of the last attempt. */
  CompletableFuture<Outcome> send(Supplier<CompletableFuture<Outcome>> attempt) {
    return send(attempt, resends);
  }

  private CompletableFuture<Outcome> send(
      Supplier<CompletableFuture<Outcome>> attempt, int retriesLeft) {
    return attempt
        .get()
        .thenCompose(
            outcome -> {
              if (retriesLeft == 0 || !outcome.resendable()) {
                return CompletableFuture.completedFuture(outcome);
              }
              return CompletableFuture.supplyAsync(
                      () -> {
                        onResend.accept(outcome);
                        return send(attempt, retriesLeft - 1);
                      },
                      after(outcome.retryAfter().orElse(wait)))
                  .thenCompose(next -> next);
            });
  }

  private static Executor after(Duration delay) {
    return CompletableFuture.delayedExecutor(delay.toMillis(), TimeUnit.MILLISECONDS);
  }
}
