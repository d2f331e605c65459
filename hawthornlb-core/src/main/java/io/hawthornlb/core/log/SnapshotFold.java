package io.hawthornlb.core.log;

/** A fold that can start from a snapshot when the records before it are no longer retained. */
public interface SnapshotFold extends StreamFold {

  /**
   * Goes on from the first offset that is still retained, because the records before it are gone.
   *
   * <p>The fold shows its last state until a snapshot that covers the gap has come. A fold that is
   * not complete may also restart at a lower offset, when more records turn out to be there.
   *
   * @throws IllegalArgumentException if the offset is below {@link #stateOffset()}
   */
  void restartAt(long firstOffset);

  /** Returns the offset up to which the state holds every record. */
  long stateOffset();

  /** Returns whether the state holds everything up to {@link #nextOffset()}. */
  default boolean complete() {
    return stateOffset() == nextOffset();
  }
}
