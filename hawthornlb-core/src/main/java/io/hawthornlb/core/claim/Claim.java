package io.hawthornlb.core.claim;

import io.hawthornlb.core.model.Epoch;
import io.hawthornlb.core.model.InstanceId;
import io.hawthornlb.core.model.PartitionId;
import java.util.List;

/**
 * A valid claim of a partition.
 *
 * @param partition the partition
 * @param epoch the offset of the claim record; fences every earlier holder
 * @param holder the instance that decides for the partition
 * @param witnesses further instances that keep run-once intents in memory; may be empty
 */
public record Claim(
    PartitionId partition, Epoch epoch, InstanceId holder, List<InstanceId> witnesses) {

  /** Copies the witnesses. */
  public Claim {
    witnesses = List.copyOf(witnesses);
  }
}
