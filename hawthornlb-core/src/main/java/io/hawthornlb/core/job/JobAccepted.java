package io.hawthornlb.core.job;

import io.hawthornlb.core.model.Epoch;
import io.hawthornlb.core.partition.PartitionRecord;

/**
 * Accepts a job whose chunks precede this record in the stream.
 *
 * <p>The record is void if a chunk is missing, if the number of chunks or items differs from the
 * header, or if the job was accepted before.
 *
 * @param epoch the epoch of the holder that wrote the record
 * @param header the fixed properties of the job
 */
public record JobAccepted(Epoch epoch, JobHeader header) implements PartitionRecord {}
