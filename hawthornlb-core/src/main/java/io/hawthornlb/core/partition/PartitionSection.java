package io.hawthornlb.core.partition;

import io.hawthornlb.core.log.LogRecord;

/**
 * One concern's state of a partition, fed by the fold of the partition's stream.
 *
 * <p>Sections get only records that are valid at their offset; they pass over types of others.
 */
public interface PartitionSection {

  /** Applies a valid record. */
  void apply(LogRecord entry);
}
