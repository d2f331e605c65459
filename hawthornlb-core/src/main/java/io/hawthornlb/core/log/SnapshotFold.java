package io.hawthornlb.core.log;

/** A fold that can start from a snapshot when the records before it are no longer retained. */
public interface SnapshotFold extends StreamFold {

  /**
   * Goes on from the first offset that is still retained, because the records before it are gone.
   *
   * <p>The fold shows its last state until a snapshot that covers the gap has come.
   *
   * @throws IllegalArgumentException if the offset is below {@link #nextOffset()}
   */
  void restartAt(long firstOffset);

  /** Returns whether the state holds everything up to {@link #nextOffset()}. */
  boolean complete();
}
