package io.hawthornlb.core.partition;

import io.hawthornlb.core.model.Epoch;
import io.hawthornlb.core.model.InstanceId;

/**
 * The first record of a new holder in the stream of a partition.
 *
 * <p>It voids every later record of a lower epoch. The holder repeats it at the start of each round
 * of snapshots, so that a reader of a truncated stream meets one.
 *
 * @param epoch the epoch of the claim
 * @param holder the instance that made the claim
 */
public record PartitionOpened(Epoch epoch, InstanceId holder) implements PartitionRecord {}
