package io.hawthornlb.core.runonce;

import io.hawthornlb.core.model.Epoch;
import io.hawthornlb.core.partition.PartitionRecord;

/**
 * Log record that states that the holder has stopped and that every intent of its epoch is in the
 * log, so that the next holder need not contact its replicas.
 *
 * @param epoch the epoch of the holder
 */
public record ReplicasReleased(Epoch epoch) implements PartitionRecord {}
