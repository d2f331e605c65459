package io.hawthornlb.core.partition;

import io.hawthornlb.core.model.Epoch;
import io.hawthornlb.core.util.Checks;

/**
 * Ends a round of snapshots of one partition.
 *
 * @param epoch the epoch of the holder that wrote the record
 * @param openedAt the offset of the {@link PartitionOpened} record that began the round
 */
public record SnapshotCompleted(Epoch epoch, long openedAt) implements PartitionRecord {

  /** Checks the offset. */
  public SnapshotCompleted {
    Checks.notNegative(openedAt, "opened at");
  }
}
