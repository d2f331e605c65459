package io.hawthornlb.core.log;

import io.hawthornlb.core.model.InstanceId;

/**
 * Creates the ids of the records of one writer.
 *
 * <p>An instance has exactly one source, shared by all its components that write records: if two
 * records had the same id, the second would be dropped as a resend of the first. Confined to the
 * core's thread.
 */
public final class RecordIdSource {

  private final InstanceId writer;
  private long next;

  /**
   * Creates a source whose sequence starts at zero. Each process start must use a new writer id.
   */
  public RecordIdSource(InstanceId writer) {
    this.writer = writer;
  }

  /** Returns the writer. */
  public InstanceId writer() {
    return writer;
  }

  /** Returns an id that this source has not returned before. */
  public RecordId next() {
    return new RecordId(writer, next++);
  }
}
