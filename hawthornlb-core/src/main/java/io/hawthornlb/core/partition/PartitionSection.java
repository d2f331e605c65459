package io.hawthornlb.core.partition;

import io.hawthornlb.core.log.LogRecord;

/**
 * One part of the state of a partition, such as its jobs, updated by the fold of the partition's
 * stream.
 *
 * <p>A section receives only records that are valid at their offset. It ignores record types that
 * belong to other sections.
 */
public interface PartitionSection {

  /** Applies a valid record. */
  void apply(LogRecord entry);
}
