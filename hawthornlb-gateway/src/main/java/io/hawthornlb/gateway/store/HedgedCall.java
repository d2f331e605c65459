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
 * A call to the store that is made a second time beside the first one; the first answer counts.
 *
 * <p>Failure: the connection of a call goes silent. It shows as an answer that does not come until
 * the call is given up. Guard: a second call is made as soon as an answer is overdue. The first one
 * is not given up, since a slow store may still answer it; there is no third, so that a slow store
 * gets twice the calls at most.
 */
final class HedgedCall<T> {

  private final Supplier<CompletionStage<T>> second;
  private final ScheduledExecutorService executor;
  private final CompletableFuture<T> result = new CompletableFuture<>();
  private @Nullable Future<?> timer;
  private boolean hurried;
  private int unanswered;

  /**
   * Creates a call; all its work happens on the executor.
   *
   * @param second makes the call that is made beside the first one
   */
  HedgedCall(Supplier<CompletionStage<T>> second, ScheduledExecutorService executor) {
    this.second = second;
    this.executor = executor;
  }

  /** Makes the first call; the stage fails once no call is on its way any more. */
  CompletionStage<T> start(Supplier<CompletionStage<T>> first) {
    make(first);
    return result;
  }

  /** Makes the second call when the first has had a time without an answer. */
  void hurryAfter(Duration patience) {
    timer = executor.schedule(this::hurry, patience.toMillis(), TimeUnit.MILLISECONDS);
  }

  /** Makes the second call now, if it is not made yet. */
  void hurry() {
    if (!hurried && !result.isDone()) {
      hurried = true;
      make(second);
    }
  }

  private void make(Supplier<CompletionStage<T>> call) {
    unanswered++;
    call.get().whenCompleteAsync(this::ended, executor);
  }

  private void ended(@Nullable T answer, @Nullable Throwable failure) {
    unanswered--;
    if (failure == null) {
      stopTimer();
      result.complete(answer);
    } else if (unanswered == 0) {
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
