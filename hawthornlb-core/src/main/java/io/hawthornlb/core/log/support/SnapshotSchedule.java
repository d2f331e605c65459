package io.hawthornlb.core.log.support;

import io.hawthornlb.core.log.SnapshotPart;
import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.List;

/**
 * Gives the state of a fold to be written again when its policy says so.
 *
 * <p>Confined to the thread of the fold.
 *
 * @param <P> the type of the snapshot parts of the stream
 */
public final class SnapshotSchedule<P extends SnapshotPart> {

  /** Time for a snapshot to show up in the stream before another is written. */
  private static final Duration PATIENCE = Duration.ofSeconds(60);

  private final AbstractStreamFold<P> fold;
  private final SnapshotPolicy policy;
  private final InstantSource clock;
  private Instant notBefore = Instant.MIN;

  /** Creates a schedule for one fold. */
  public SnapshotSchedule(AbstractStreamFold<P> fold, SnapshotPolicy policy, InstantSource clock) {
    this.fold = fold;
    this.policy = policy;
    this.clock = clock;
  }

  /**
   * Returns the parts of a snapshot to append when one is due, else none.
   *
   * @param first whether this instance writes before the others
   */
  public List<P> onTick(boolean first) {
    Instant now = clock.instant();
    if (now.isBefore(notBefore) || !policy.due(fold.snapshotAge(), now, first)) {
      return List.of();
    }
    notBefore = now.plus(PATIENCE);
    return fold.snapshot();
  }
}
