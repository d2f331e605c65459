package io.hawthornlb.core.job;

import io.hawthornlb.core.model.Epoch;
import io.hawthornlb.core.partition.PartitionRecord;
import java.time.Instant;
import java.util.List;
import java.util.Optional;

/**
 * State of one job, for readers that start after the log has dropped the first records of the job.
 *
 * <p>A reader that knows the job ignores the snapshot, because the state that the reader has folded
 * is at least as new.
 *
 * @param epoch the epoch of the holder that wrote the record
 * @param asOf the offset of the last record that the state covers
 * @param header the fixed properties of the job
 * @param chunks the positions of the job's items in the log
 * @param ended a bit set with the bit of each item that ended
 * @param failed a bit set with the bit of each item that failed
 * @param started a bit set with the bit of each item that was started; used only if items must not
 *     be executed twice
 * @param results the positions of the job's results in the log
 * @param attempts the attempt counts of items that failed and will be retried
 * @param endedAt when the job ended or was cancelled
 * @param cancelled whether the job was cancelled
 */
public record JobSnapshot(
    Epoch epoch,
    long asOf,
    JobHeader header,
    List<ChunkLocation> chunks,
    byte[] ended,
    byte[] failed,
    byte[] started,
    List<ResultSpan> results,
    List<ItemAttempts> attempts,
    Optional<Instant> endedAt,
    boolean cancelled)
    implements PartitionRecord {

  /** Copies the lists. */
  public JobSnapshot {
    chunks = List.copyOf(chunks);
    results = List.copyOf(results);
    attempts = List.copyOf(attempts);
  }
}
