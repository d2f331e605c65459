package io.hawthornlb.gateway.store;

import java.time.Duration;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.Future;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import org.jspecify.annotations.Nullable;

/** What a follower does now: a call or a pause, one at a time, either of which can be hurried. */
final class FollowerStep {

  private final ScheduledExecutorService executor;
  private @Nullable HedgedCall<?> call;
  private @Nullable Pause pause;
  private long number;

  /**
   * A pause before the next call.
   *
   * @param timer ends the pause
   * @param next makes the call
   */
  private record Pause(Future<?> timer, Runnable next) {}

  /** Creates a step that is not begun; all its work happens on the executor. */
  FollowerStep(ScheduledExecutorService executor) {
    this.executor = executor;
  }

  /**
   * Returns a call that is to be made now.
   *
   * @param second makes the call again, without a wait
   */
  <T> HedgedCall<T> call(Supplier<CompletionStage<T>> second) {
    number++;
    pause = null;
    HedgedCall<T> begun = new HedgedCall<>(second, executor);
    call = begun;
    return begun;
  }

  /** Pauses before the next step. */
  void pause(Duration time, Runnable next) {
    number++;
    call = null;
    pause = new Pause(executor.schedule(next, time.toMillis(), TimeUnit.MILLISECONDS), next);
  }

  /** Makes the second call beside the one that is on its way, or ends the pause. */
  void hurry() {
    HedgedCall<?> current = call;
    Pause pausing = pause;
    if (pausing != null && pausing.timer().cancel(false)) {
      pausing.next().run();
    } else if (current != null) {
      current.hurry();
    }
  }

  /** Hurries once the answers that are there are taken, unless this step is over by then. */
  void hurryBehindAnswers() {
    long current = number;
    executor.execute(
        () -> {
          if (number == current) {
            hurry();
          }
        });
  }
}
