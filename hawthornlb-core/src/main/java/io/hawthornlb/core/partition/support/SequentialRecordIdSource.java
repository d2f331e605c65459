package io.hawthornlb.core.partition.support;

import io.hawthornlb.core.log.RecordId;
import io.hawthornlb.core.model.InstanceId;
import io.hawthornlb.core.partition.RecordIdSource;

/** Counts from zero; confined to one thread and shared by all deciders of an instance. */
public final class SequentialRecordIdSource implements RecordIdSource {

  private final InstanceId writer;
  private long sequence;

  /** Creates the source of one writer. */
  public SequentialRecordIdSource(InstanceId writer) {
    this.writer = writer;
  }

  @Override
  public RecordId next() {
    return new RecordId(writer, sequence++);
  }
}
