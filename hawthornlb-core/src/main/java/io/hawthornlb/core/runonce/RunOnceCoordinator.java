package io.hawthornlb.core.runonce;

import io.hawthornlb.core.effect.Effect;
import java.time.Instant;
import java.util.List;

/**
 * Decides for the run-once requests of one partition while this instance holds it.
 *
 * <p>Deterministic and confined to one thread.
 */
public interface RunOnceCoordinator {

  /** Takes an event and returns what is to be done. */
  List<Effect> on(RunOnceEvent event, Instant now);

  /** Returns whether nothing is left that is not in the log; true for an instance that may stop. */
  boolean drained();
}
