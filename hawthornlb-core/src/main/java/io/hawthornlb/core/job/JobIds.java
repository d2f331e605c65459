package io.hawthornlb.core.job;

import com.dynatrace.hash4j.hashing.HashValue128;
import com.dynatrace.hash4j.hashing.Hashing;
import io.hawthornlb.core.claim.PartitionHash;
import io.hawthornlb.core.model.JobId;
import io.hawthornlb.core.model.PartitionId;
import io.hawthornlb.core.model.WorkspaceId;
import io.hawthornlb.core.util.Checks;

/**
 * Derives the id of a job from its workspace and idempotency key, so that every instance gives a
 * resent job the same id.
 */
public final class JobIds {

  private static final String PREFIX = "job-";

  private JobIds() {}

  /** Returns the id of the job that a workspace submits with an idempotency key. */
  public static JobId of(WorkspaceId workspace, String idempotencyKey, int partitions) {
    String key = workspace.value() + '\n' + idempotencyKey;
    PartitionId partition = PartitionHash.partition(key, partitions);
    HashValue128 hash = Hashing.murmur3_128().hashCharsTo128Bits(key);
    String name =
        String.format("%016x%016x", hash.getMostSignificantBits(), hash.getLeastSignificantBits());
    return new JobId(PREFIX + partition.value() + "-" + name);
  }

  /**
   * Returns the partition that a job belongs to.
   *
   * @throws IllegalArgumentException if the id was not created by {@link #of}
   */
  public static PartitionId partition(JobId job) {
    String[] parts = job.value().split("-", 3);
    boolean wellFormed = parts.length == 3 && parts[1].matches("\\d{1,9}");
    Checks.isTrue(wellFormed && job.value().startsWith(PREFIX), "not a job id: " + job);
    return new PartitionId(Integer.parseInt(parts[1]));
  }
}
