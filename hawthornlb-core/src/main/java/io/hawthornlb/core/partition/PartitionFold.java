package io.hawthornlb.core.partition;

import io.hawthornlb.core.log.StreamFold;
import java.time.Instant;
import java.util.Optional;

/**
 * Folds the stream of a partition: decides which records are valid and hands them to sections.
 *
 * <p>A record of a holder is valid if its epoch is that of the last valid {@link PartitionOpened}
 * before it; an opening is valid if its epoch is above that of the one before. So the order of the
 * stream alone decides, whatever a holder that was paused or cut off still believes.
 */
public interface PartitionFold extends StreamFold {

  /** Returns the last valid opening. */
  Optional<PartitionOpened> opened();

  /** Returns the offset of the last valid opening or its last repetition, or -1. */
  long openedAt();

  /**
   * Returns whether the state is whole: the fold began with the first record of the stream, or has
   * met a round of snapshots from its start to its end.
   */
  boolean complete();

  /** Returns when the last round of snapshots ended, or when the first record was appended. */
  Optional<Instant> lastRoundAt();

  /** Returns the lowest offset that was appended at or after a time, as far as is known. */
  long offsetAt(Instant time);
}
