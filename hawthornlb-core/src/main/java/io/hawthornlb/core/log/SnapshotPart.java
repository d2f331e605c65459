package io.hawthornlb.core.log;

import java.util.List;

/**
 * One part of a snapshot: the state of a stream, written into the stream before the records that
 * made it expire.
 *
 * <p>A snapshot names the offset that it folds, and all its parts are needed.
 */
public interface SnapshotPart extends RecordBody {

  /** Returns the version of the fold that wrote it; raised when the state gains something. */
  int version();

  /** Returns the offset below which every record is folded into the snapshot. */
  long upTo();

  /** Returns the number of this part, from zero. */
  int part();

  /** Returns the number of parts. */
  int parts();

  /** Returns the record ids that the fold still tells from duplicates; empty in later parts. */
  List<WriterWindow> writers();
}
