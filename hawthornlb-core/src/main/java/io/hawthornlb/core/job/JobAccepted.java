package io.hawthornlb.core.job;

import io.hawthornlb.core.model.Epoch;
import io.hawthornlb.core.partition.PartitionRecord;

/**
 * Accepts a job whose chunks stand before it in the stream.
 *
 * <p>Void if a chunk is missing, if the counts differ, or if the job is known already.
 *
 * @param epoch the epoch of the holder
 * @param header the job
 */
public record JobAccepted(Epoch epoch, JobHeader header) implements PartitionRecord {}
