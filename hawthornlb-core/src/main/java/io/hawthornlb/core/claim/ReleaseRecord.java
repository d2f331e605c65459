package io.hawthornlb.core.claim;

import io.hawthornlb.core.log.RecordBody;
import io.hawthornlb.core.model.Epoch;
import io.hawthornlb.core.model.PartitionId;

/**
 * Gives a partition up without a successor; valid only from its holder in the current epoch.
 *
 * @param partition the partition
 * @param epoch the epoch of the claim that ends
 */
public record ReleaseRecord(PartitionId partition, Epoch epoch) implements RecordBody {}
