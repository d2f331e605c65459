package io.hawthornlb.core.job;

import io.hawthornlb.core.model.Epoch;
import io.hawthornlb.core.model.JobId;
import io.hawthornlb.core.partition.PartitionRecord;
import java.util.List;

/**
 * The intent to execute items that may not be executed twice; stored before they are dispatched.
 *
 * @param epoch the epoch of the holder
 * @param job the job
 * @param items indexes of the items
 */
public record ItemsStarted(Epoch epoch, JobId job, List<Integer> items) implements PartitionRecord {

  /** Copies the items. */
  public ItemsStarted {
    items = List.copyOf(items);
  }
}
