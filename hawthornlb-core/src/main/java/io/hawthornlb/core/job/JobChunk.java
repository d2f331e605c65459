package io.hawthornlb.core.job;

import io.hawthornlb.core.log.RecordBody;
import io.hawthornlb.core.model.JobId;
import io.hawthornlb.core.model.ServiceName;
import io.hawthornlb.core.util.Checks;
import java.util.List;
import java.util.Optional;

/**
 * Part of the items of a job, all for the same service.
 *
 * <p>Any instance may write a chunk, so a chunk has no epoch; it has no effect until a {@link
 * JobAccepted} names its submission. The items of a job are numbered from zero across the chunks of
 * the submission, in the order of the chunk indexes.
 *
 * @param job the job
 * @param submission the upload that the chunk belongs to; each resend of the same job is another
 *     upload
 * @param index the number of the chunk in the submission, from zero
 * @param service the service that runs the items
 * @param items the items
 * @param refreshOf the offset of the record that this record replaces before the log drops it;
 *     empty for an original record
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
