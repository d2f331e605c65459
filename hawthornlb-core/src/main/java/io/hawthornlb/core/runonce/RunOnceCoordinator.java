package io.hawthornlb.core.runonce;

import io.hawthornlb.core.effect.Effect;
import java.time.Instant;
import java.util.List;

/**
 * Handles the run-once requests of one partition while this instance holds the partition.
 *
 * <p>Implementations are deterministic and are confined to one thread.
 */
public interface RunOnceCoordinator {

  /** Handles an event and returns the effects to perform. */
  List<Effect> on(RunOnceEvent event, Instant now);

  /**
   * Returns whether draining has ended: every entry is in the log and the replicas are released, so
   * that the instance may stop.
   */
  boolean drained();
}
