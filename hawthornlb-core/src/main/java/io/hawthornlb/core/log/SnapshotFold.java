package io.hawthornlb.core.log;

/**
 * A fold that can start from a snapshot when the records before the snapshot are no longer
 * retained.
 */
public interface SnapshotFold extends StreamFold {

  /**
   * Continues from the first offset that is still retained, because the records before it were
   * dropped.
   *
   * <p>The fold keeps its last state until it has read a snapshot that covers the gap. A fold that
   * is not complete may also restart at a lower offset, if more records turn out to be retained.
   *
   * @throws IllegalArgumentException if the offset is below {@link #stateOffset()}
   */
  void restartAt(long firstOffset);

  /** Returns the offset below which the state covers every record. */
  long stateOffset();

  /** Returns whether the state covers every record below {@link #nextOffset()}. */
  default boolean complete() {
    return stateOffset() == nextOffset();
  }
}
