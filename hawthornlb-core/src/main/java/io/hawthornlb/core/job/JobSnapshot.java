package io.hawthornlb.core.job;

import io.hawthornlb.core.model.Epoch;
import io.hawthornlb.core.partition.PartitionRecord;
import java.time.Instant;
import java.util.List;
import java.util.Optional;

/**
 * The state of one job, for readers that start after its first records have expired.
 *
 * <p>A reader that knows the job passes over it: what it folded is at least as new.
 *
 * @param epoch the epoch of the holder
 * @param asOf the last offset that the state covers
 * @param header the job
 * @param chunks where its items stand
 * @param ended a bit for each item that ended
 * @param failed a bit for each item that failed
 * @param started a bit for each item that was started, where items may not be executed twice
 * @param results where its results stand
 * @param attempts items that failed and are tried again
 * @param endedAt when the job ended or was cancelled
 * @param cancelled whether it was cancelled
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
