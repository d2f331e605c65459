package io.hawthornlb.core.partition;

import io.hawthornlb.core.log.StreamFold;
import java.time.Instant;
import java.util.Optional;

/**
 * Folds the stream of a partition: decides which records are valid, and passes valid records to the
 * sections of the partition's state.
 *
 * <p>A record of a holder is valid if its epoch is the epoch of the last valid {@link
 * PartitionOpened} before it. An opening record is valid if its epoch is above the epoch of the
 * last valid opening record, or if it repeats that record. So validity depends only on the order of
 * the stream, and not on what a paused or disconnected holder still believes.
 */
public interface PartitionFold extends StreamFold {

  /** Returns the last valid opening record, or empty if there is none. */
  Optional<PartitionOpened> opened();

  /**
   * Returns the offset of the last valid opening record or of its last repetition, or -1 if there
   * is none.
   */
  long openedAt();

  /**
   * Returns whether the state is complete: the fold started with the first record of the stream, or
   * has applied a whole round of snapshots.
   */
  boolean complete();

  /**
   * Returns when the last complete round of snapshots ended. Before the first such round, returns
   * when the first applied record was appended; empty if no record was applied.
   */
  Optional<Instant> lastRoundAt();

  /**
   * Returns an offset at or below the lowest offset that was appended at or after a time. The
   * result is approximate, because only a bounded number of offsets and times is kept.
   */
  long offsetAt(Instant time);
}
