package io.hawthornlb.standin.load.support;

import io.hawthornlb.standin.report.Outcome;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executor;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.Supplier;

/** Sends a request again when that can help, as callers do. */
final class Resender {

  private final int resends;
  private final Duration wait;
  private final Consumer<Outcome> onResend;

  /**
   * Allows some resends.
   *
   * @param wait before a resend that is not told when to come back
   * @param onResend learns why a request is sent again
   */
  Resender(int resends, Duration wait, Consumer<Outcome> onResend) {
    this.resends = resends;
    this.wait = wait;
    this.onResend = onResend;
  }

  /** Completes with the outcome of the last sending. */
  CompletableFuture<Outcome> send(Supplier<CompletableFuture<Outcome>> sending) {
    return send(sending, resends);
  }

  private CompletableFuture<Outcome> send(Supplier<CompletableFuture<Outcome>> sending, int left) {
    return sending
        .get()
        .thenCompose(
            outcome -> {
              if (left == 0 || !outcome.resendable()) {
                return CompletableFuture.completedFuture(outcome);
              }
              return CompletableFuture.supplyAsync(
                      () -> {
                        onResend.accept(outcome);
                        return send(sending, left - 1);
                      },
                      after(outcome.retryAfter().orElse(wait)))
                  .thenCompose(next -> next);
            });
  }

  private static Executor after(Duration delay) {
    return CompletableFuture.delayedExecutor(delay.toMillis(), TimeUnit.MILLISECONDS);
  }
}
