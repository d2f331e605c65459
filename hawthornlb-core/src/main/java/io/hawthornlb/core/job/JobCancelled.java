package io.hawthornlb.core.job;

import io.hawthornlb.core.model.Epoch;
import io.hawthornlb.core.model.JobId;
import io.hawthornlb.core.partition.PartitionRecord;

/**
 * Cancels a job that has not ended. Later outcomes of its items are void.
 *
 * @param epoch the epoch of the holder that wrote the record
 * @param job the job
 */
public record JobCancelled(Epoch epoch, JobId job) implements PartitionRecord {}
