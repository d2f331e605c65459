package io.hawthornlb.core.claim;

import io.hawthornlb.core.log.RecordBody;
import io.hawthornlb.core.model.Epoch;
import io.hawthornlb.core.model.InstanceId;
import io.hawthornlb.core.model.PartitionId;
import java.util.List;

/**
 * Claims a partition; its offset becomes the epoch.
 *
 * <p>Valid only if the superseded epoch is still current. Only the current holder may claim for
 * another instance, which hands the partition over.
 *
 * @param partition the partition
 * @param holder the instance that shall hold it
 * @param superseded the epoch that it ends; {@link Epoch#NONE} for the first claim
 * @param witnesses further instances that keep run-once intents in memory; may be empty
 */
public record ClaimRecord(
    PartitionId partition, InstanceId holder, Epoch superseded, List<InstanceId> witnesses)
    implements RecordBody {

  /** Copies the witnesses. */
  public ClaimRecord {
    witnesses = List.copyOf(witnesses);
  }
}
