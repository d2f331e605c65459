package io.hawthornlb.core.log.support;

import io.hawthornlb.core.log.SnapshotPart;
import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.List;

/**
 * Creates a snapshot of a fold whenever the snapshot policy says that one is due.
 *
 * <p>Confined to the thread of the fold.
 *
 * @param <P> the type of the snapshot parts of the stream
 */
public final class SnapshotSchedule<P extends SnapshotPart> {

  /** Time for a snapshot to appear in the stream before this instance writes another one. */
  private static final Duration APPEARANCE_TIMEOUT = Duration.ofSeconds(60);

  private final AbstractStreamFold<P> fold;
  private final SnapshotPolicy policy;
  private final InstantSource clock;
  private Instant notBefore = Instant.MIN;

  /** Creates the schedule of one fold. */
  public SnapshotSchedule(AbstractStreamFold<P> fold, SnapshotPolicy policy, InstantSource clock) {
    this.fold = fold;
    this.policy = policy;
    this.clock = clock;
  }

  /**
   * Returns the parts of a snapshot to append if one is due, and an empty list otherwise.
   *
   * @param preferredWriter whether this instance is the preferred writer of snapshots
   */
  public List<P> onTick(boolean preferredWriter) {
    Instant now = clock.instant();
    if (now.isBefore(notBefore) || !policy.due(fold.snapshotAge(), now, preferredWriter)) {
      return List.of();
    }
    notBefore = now.plus(APPEARANCE_TIMEOUT);
    return fold.snapshot();
  }
}
