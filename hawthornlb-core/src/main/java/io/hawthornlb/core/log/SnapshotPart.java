package io.hawthornlb.core.log;

import java.util.List;

/**
 * One part of a snapshot. A snapshot is the state of a stream, written into the same stream before
 * the records that the state is made of expire.
 *
 * <p>Each part names the offset up to which the snapshot covers the stream. A reader needs all
 * parts of a snapshot.
 */
public interface SnapshotPart extends RecordBody {

  /**
   * Returns the version of the fold that wrote the snapshot. The version is raised whenever the
   * state is extended.
   */
  int version();

  /** Returns the offset below which every record is folded into the snapshot. */
  long upTo();

  /** Returns the number of this part, from zero. */
  int part();

  /** Returns the number of parts. */
  int parts();

  /**
   * Returns the record ids that the fold still recognizes as duplicates; empty in all parts but the
   * first.
   */
  List<WriterWindow> writers();
}
