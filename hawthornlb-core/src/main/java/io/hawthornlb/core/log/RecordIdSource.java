package io.hawthornlb.core.log;

import io.hawthornlb.core.model.InstanceId;

/**
 * Numbers the records of one writer.
 *
 * <p>An instance has exactly one, shared by everything in it that writes: two records under one id
 * would pass for one record and its resend. Confined to the core's thread.
 */
public final class RecordIdSource {

  private final InstanceId writer;
  private long next;

  /** Creates a source that starts at zero; the writer must be new with each process start. */
  public RecordIdSource(InstanceId writer) {
    this.writer = writer;
  }

  /** Returns the writer. */
  public InstanceId writer() {
    return writer;
  }

  /** Returns an id that was never returned before. */
  public RecordId next() {
    return new RecordId(writer, next++);
  }
}
