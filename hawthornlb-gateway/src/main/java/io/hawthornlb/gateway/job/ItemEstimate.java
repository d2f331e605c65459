package io.hawthornlb.gateway.job;

import io.hawthornlb.core.model.WorkspaceId;
import io.hawthornlb.core.work.WorkSize;
import io.hawthornlb.core.work.support.LearningWorkEstimator;
import java.time.Duration;
import org.jspecify.annotations.Nullable;

/**
 * Estimates how long the items of a service still have to run, by the sizes that they state.
 *
 * <p>The sizes are stated in tokens, while progress is counted in events of several tokens, so the
 * time per event is learned as well. Times include the pace of the endpoints that items ran on.
 */
final class ItemEstimate {

  /** Run time before the first item has completed; that of an item of 200 events. */
  private static final Duration FIRST_RUN = Duration.ofMillis(4_200);

  private static final double FIRST_EVENT_MILLIS = 21;

  /** Weight of the newest item in the moving average; about the last ten items count. */
  private static final double SMOOTHING = 0.1;

  private final LearningWorkEstimator estimator = new LearningWorkEstimator(FIRST_RUN);
  private double eventMillis = FIRST_EVENT_MILLIS;

  /** Returns the time for which an item that has produced some events still has to run. */
  Duration remaining(WorkSize size, @Nullable WorkspaceId workspace, long events) {
    return estimator.remaining(size, workspace, production(events));
  }

  /** Learns from an item that an endpoint has run from its first to its last event. */
  void completed(WorkSize size, @Nullable WorkspaceId workspace, Duration ran, long events) {
    double output = ran.minus(estimator.promptTime(size)).toNanos() / 1e6;
    if (events > 0 && output > 0) {
      eventMillis += SMOOTHING * (output / events - eventMillis);
    }
    estimator.completed(size, workspace, ran);
  }

  /**
   * Learns from an item that was resumed at least once.
   *
   * <p>The time that it ran includes parts that were repeated and prompts that were processed
   * again, so it counts by its number of events. Were such items left out, estimates would be too
   * short, because long items are preempted more often.
   */
  void completedInParts(WorkSize size, @Nullable WorkspaceId workspace, long events) {
    Duration whole = estimator.promptTime(size).plus(production(events));
    estimator.completed(size, workspace, whole);
  }

  private Duration production(long events) {
    return Duration.ofNanos((long) (Math.max(0, events) * eventMillis * 1e6));
  }
}
