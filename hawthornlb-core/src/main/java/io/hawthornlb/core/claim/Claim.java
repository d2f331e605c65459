package io.hawthornlb.core.claim;

import io.hawthornlb.core.model.Epoch;
import io.hawthornlb.core.model.InstanceId;
import io.hawthornlb.core.model.PartitionId;
import java.util.List;

/**
 * A valid claim of an instance to hold a partition.
 *
 * @param partition the claimed partition
 * @param epoch the offset of the claim record; fences off every earlier holder, whose records carry
 *     a lower epoch
 * @param holder the instance that holds the partition
 * @param witnesses the replicas: further instances that keep run-once entries of the partition in
 *     memory; may be empty
 */
public record Claim(
    PartitionId partition, Epoch epoch, InstanceId holder, List<InstanceId> witnesses) {

  /** Copies the replicas. */
  public Claim {
    witnesses = List.copyOf(witnesses);
  }
}
