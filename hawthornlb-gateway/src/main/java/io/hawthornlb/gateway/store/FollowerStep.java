package io.hawthornlb.gateway.store;

import java.time.Duration;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.Future;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import org.jspecify.annotations.Nullable;

/** Current step of a follower: either one call or one pause. Each of them can be cut short. */
final class FollowerStep {

  private final ScheduledExecutorService executor;
  private @Nullable HedgedCall<?> call;
  private @Nullable Pause pause;
  private long number;

  /**
   * A pause before the next call.
   *
   * @param timer timer that ends the pause
   * @param next makes the next call
   */
  private record Pause(Future<?> timer, Runnable next) {}

  /** Creates a step without a call or a pause. All work happens on the executor. */
  FollowerStep(ScheduledExecutorService executor) {
    this.executor = executor;
  }

  /**
   * Begins a call and returns it.
   *
   * @param second makes the second call, which does not wait for new records
   */
  <T> HedgedCall<T> call(Supplier<CompletionStage<T>> second) {
    number++;
    pause = null;
    HedgedCall<T> started = new HedgedCall<>(second, executor);
    call = started;
    return started;
  }

  /** Begins a pause, after which the next step runs. */
  void pause(Duration time, Runnable next) {
    number++;
    call = null;
    pause = new Pause(executor.schedule(next, time.toMillis(), TimeUnit.MILLISECONDS), next);
  }

  /** Makes the second call of a call in progress, or ends a pause. */
  void proceedNow() {
    HedgedCall<?> current = call;
    Pause pausing = pause;
    if (pausing != null && pausing.timer().cancel(false)) {
      pausing.next().run();
    } else if (current != null) {
      current.hedgeNow();
    }
  }

  /**
   * Does the same as {@link #proceedNow()}, but only after the replies that have already arrived
   * are handled, and only if this step is still the current one by then.
   */
  void proceedAfterPendingReplies() {
    long current = number;
    executor.execute(
        () -> {
          if (number == current) {
            proceedNow();
          }
        });
  }
}
