package io.hawthornlb.core.runonce;

import io.hawthornlb.core.model.Epoch;
import io.hawthornlb.core.partition.PartitionRecord;

/**
 * Says that the holder has stopped and that every intent of its epoch stands in the log, so that
 * the next holder need not ask its witnesses.
 *
 * @param epoch the epoch of the holder
 */
public record ReplicasReleased(Epoch epoch) implements PartitionRecord {}
