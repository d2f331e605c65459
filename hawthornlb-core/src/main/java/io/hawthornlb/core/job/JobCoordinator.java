package io.hawthornlb.core.job;

import io.hawthornlb.core.effect.Effect;
import java.time.Instant;
import java.util.List;

/**
 * Decides for the jobs of one partition while this instance holds it.
 *
 * <p>Deterministic and confined to one thread. While the instance does not hold the partition, it
 * answers callers with a redirection and hands out no item.
 */
public interface JobCoordinator {

  /** Takes an event and returns what is to be done. */
  List<Effect> on(JobEvent event, Instant now);

  /** Returns whether nothing is left that is not in the log; true for an instance that may stop. */
  boolean drained();

  /** Returns the items that wait for a steward, by service. */
  List<ServiceBacklog> backlog();
}
