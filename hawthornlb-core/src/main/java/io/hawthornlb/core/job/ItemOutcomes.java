package io.hawthornlb.core.job;

import io.hawthornlb.core.model.Epoch;
import io.hawthornlb.core.partition.PartitionRecord;
import java.util.List;
import java.util.Optional;

/**
 * Outcomes of items of several jobs in one append.
 *
 * <p>The first valid outcome of an item counts; later ones, and those after a cancellation, are
 * void.
 *
 * @param epoch the epoch of the holder
 * @param groups outcomes by job
 * @param refreshOf the offset of the record that this one replaces before it expires
 */
public record ItemOutcomes(Epoch epoch, List<JobOutcomeGroup> groups, Optional<Long> refreshOf)
    implements PartitionRecord {

  /** Copies the groups. */
  public ItemOutcomes {
    groups = List.copyOf(groups);
  }
}
