package io.hawthornlb.core.claim;

import io.hawthornlb.core.log.RecordBody;
import io.hawthornlb.core.model.Epoch;
import io.hawthornlb.core.model.PartitionId;

/**
 * Releases a partition without naming a successor. The record is valid only if the current holder
 * wrote it and its epoch is current.
 *
 * @param partition the partition
 * @param epoch the epoch of the released claim
 */
public record ReleaseRecord(PartitionId partition, Epoch epoch) implements RecordBody {}
