package io.hawthornlb.core.job;

import io.hawthornlb.core.model.Epoch;
import io.hawthornlb.core.partition.PartitionRecord;
import java.util.List;
import java.util.Optional;

/**
 * Outcomes of items of several jobs, appended as one record.
 *
 * <p>The first valid outcome of an item counts. Later outcomes of the same item are void, and so
 * are outcomes that follow the cancellation of the job.
 *
 * @param epoch the epoch of the holder that wrote the record
 * @param groups the outcomes, one group for each job
 * @param refreshOf the offset of the record that this record replaces before the log drops it;
 *     empty for an original record
 */
public record ItemOutcomes(Epoch epoch, List<JobOutcomeGroup> groups, Optional<Long> refreshOf)
    implements PartitionRecord {

  /** Copies the groups. */
  public ItemOutcomes {
    groups = List.copyOf(groups);
  }
}
