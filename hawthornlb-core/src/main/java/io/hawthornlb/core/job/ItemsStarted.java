package io.hawthornlb.core.job;

import io.hawthornlb.core.model.Epoch;
import io.hawthornlb.core.model.JobId;
import io.hawthornlb.core.partition.PartitionRecord;
import java.util.List;

/**
 * Records the intent to execute items that must not be executed twice. The holder dispatches the
 * items only after this record is stored.
 *
 * @param epoch the epoch of the holder that wrote the record
 * @param job the job
 * @param items the indexes of the items in the job
 */
public record ItemsStarted(Epoch epoch, JobId job, List<Integer> items) implements PartitionRecord {

  /** Copies the items. */
  public ItemsStarted {
    items = List.copyOf(items);
  }
}
