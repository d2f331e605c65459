package io.hawthornlb.core.job;

import io.hawthornlb.core.effect.Effect;
import java.time.Instant;
import java.util.List;

/**
 * Accepts, schedules and cancels the jobs of one partition while this instance holds the partition.
 *
 * <p>The coordinator is deterministic and confined to one thread. While the instance does not hold
 * the partition, the coordinator answers submissions and cancellations with {@link
 * JobAnswerKind#NOT_HOLDER} and dispatches no item.
 */
public interface JobCoordinator {

  /** Processes an event and returns the effects to carry out. */
  List<Effect> on(JobEvent event, Instant now);

  /**
   * Returns whether the coordinator is draining and has nothing left to append or to answer, so
   * that the instance may stop.
   */
  boolean drained();

  /** Returns the items that wait for a dispatcher, by service. */
  List<ServiceBacklog> backlog();
}
