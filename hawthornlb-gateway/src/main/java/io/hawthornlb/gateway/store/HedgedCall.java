package io.hawthornlb.gateway.store;

import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.Future;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import org.jspecify.annotations.Nullable;

/**
 * A hedged call to the store: a second call is made in parallel with the first if the reply is
 * overdue. The first reply counts.
 *
 * <p>The connection of a call may go silent, and the call would then have no reply until its
 * timeout. Therefore the second call is made as soon as a reply is overdue. The first call is not
 * aborted, since a slow store may still reply to it. There is no third call, so a slow store gets
 * at most twice the calls.
 */
final class HedgedCall<T> {

  private final Supplier<CompletionStage<T>> second;
  private final ScheduledExecutorService executor;
  private final CompletableFuture<T> result = new CompletableFuture<>();
  private @Nullable Future<?> timer;
  private boolean hedged;
  private int pendingCalls;

  /**
   * Creates a call. All work happens on the executor.
   *
   * @param second makes the second call
   */
  HedgedCall(Supplier<CompletionStage<T>> second, ScheduledExecutorService executor) {
    this.second = second;
    this.executor = executor;
  }

  /**
   * Makes the first call. The returned stage completes with the first reply, and fails once all
   * calls in progress have failed.
   */
  CompletionStage<T> start(Supplier<CompletionStage<T>> first) {
    make(first);
    return result;
  }

  /** Makes the second call if the first has no reply after a delay. */
  void hedgeAfter(Duration delay) {
    timer = executor.schedule(this::hedgeNow, delay.toMillis(), TimeUnit.MILLISECONDS);
  }

  /** Makes the second call now, unless it was already made or the result is known. */
  void hedgeNow() {
    if (!hedged && !result.isDone()) {
      hedged = true;
      make(second);
    }
  }

  private void make(Supplier<CompletionStage<T>> call) {
    pendingCalls++;
    call.get().whenCompleteAsync(this::onReply, executor);
  }

  private void onReply(@Nullable T reply, @Nullable Throwable failure) {
    pendingCalls--;
    if (failure == null) {
      stopTimer();
      result.complete(reply);
    } else if (pendingCalls == 0) {
      stopTimer();
      result.completeExceptionally(failure);
    }
  }

  private void stopTimer() {
    Future<?> running = timer;
    if (running != null) {
      running.cancel(false);
    }
  }
}
