package io.hawthornlb.core.claim;

import io.hawthornlb.core.log.RecordBody;
import io.hawthornlb.core.model.Epoch;
import io.hawthornlb.core.model.InstanceId;
import io.hawthornlb.core.model.PartitionId;
import java.util.List;

/**
 * Claims a partition. The offset of the record becomes the epoch of the claim.
 *
 * <p>The record is valid only if the superseded epoch is still current. An instance may claim a
 * partition for itself. Only the current holder may claim it for another instance, and so hand the
 * partition over.
 *
 * @param partition the claimed partition
 * @param holder the instance that becomes the holder
 * @param superseded the epoch that the claim ends; {@link Epoch#NONE} for the first claim
 * @param witnesses the replicas: further instances that keep run-once entries of the partition in
 *     memory; may be empty
 */
public record ClaimRecord(
    PartitionId partition, InstanceId holder, Epoch superseded, List<InstanceId> witnesses)
    implements RecordBody {

  /** Copies the replicas. */
  public ClaimRecord {
    witnesses = List.copyOf(witnesses);
  }
}
