package io.hawthornlb.core.partition;

import io.hawthornlb.core.model.Epoch;
import io.hawthornlb.core.model.InstanceId;

/**
 * The first record that a new holder writes to the stream of a partition.
 *
 * <p>Every later record with a lower epoch is void. The holder repeats the opening record at the
 * start of each round of snapshots, so that a reader of a truncated stream finds one.
 *
 * @param epoch the epoch of the holder's claim
 * @param holder the instance that made the claim
 */
public record PartitionOpened(Epoch epoch, InstanceId holder) implements PartitionRecord {}
