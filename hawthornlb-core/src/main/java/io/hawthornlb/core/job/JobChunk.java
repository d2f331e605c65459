package io.hawthornlb.core.job;

import io.hawthornlb.core.log.RecordBody;
import io.hawthornlb.core.model.JobId;
import io.hawthornlb.core.model.ServiceName;
import io.hawthornlb.core.util.Checks;
import java.util.List;
import java.util.Optional;

/**
 * Some items of a job, all of one service.
 *
 * <p>Any instance may write it, so it has no epoch: it decides nothing until a {@link JobAccepted}
 * names its submission. The index of an item in its job is its place when the chunks of the
 * submission are read in the order of their indexes.
 *
 * @param job the job
 * @param submission the upload that it belongs to; resends of the same job use others
 * @param index the place among the chunks of the submission, from zero
 * @param service the service that runs the items
 * @param items the items
 * @param refreshOf the offset of the record that this one replaces before it expires
 */
public record JobChunk(
    JobId job,
    String submission,
    int index,
    ServiceName service,
    List<JobItem> items,
    Optional<Long> refreshOf)
    implements RecordBody {

  /** Checks the index and copies the items. */
  public JobChunk {
    Checks.hasText(submission, "submission");
    Checks.notNegative(index, "chunk index");
    Checks.notEmpty(items, "items");
    items = List.copyOf(items);
  }
}
