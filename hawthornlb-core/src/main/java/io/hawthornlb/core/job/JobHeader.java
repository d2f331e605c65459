package io.hawthornlb.core.job;

import io.hawthornlb.core.model.JobId;
import io.hawthornlb.core.model.WorkspaceId;
import io.hawthornlb.core.util.Checks;
import java.time.Duration;
import java.time.Instant;

/**
 * Properties of a job that are fixed when it is submitted.
 *
 * @param id the job
 * @param workspace the workspace that submitted it
 * @param idempotencyKey the key that the caller gave; in one workspace, the same key means the same
 *     job
 * @param contentHash a hash of all items and options; a submission with the same key and another
 *     hash is refused as a conflict
 * @param submission the upload whose chunks contain the items
 * @param chunks the number of chunks
 * @param items the number of items
 * @param due when the caller needs the results
 * @param submittedAt when the entry instance received the submission
 * @param resultRetention how long results stay readable after the job has ended
 * @param atMostOnce whether items must not be executed twice
 */
public record JobHeader(
    JobId id,
    WorkspaceId workspace,
    String idempotencyKey,
    String contentHash,
    String submission,
    int chunks,
    int items,
    Instant due,
    Instant submittedAt,
    Duration resultRetention,
    boolean atMostOnce) {

  /** Checks the texts and counts. */
  public JobHeader {
    Checks.hasText(idempotencyKey, "idempotency key");
    Checks.hasText(contentHash, "content hash");
    Checks.hasText(submission, "submission");
    Checks.isTrue(chunks > 0, "a job must have at least one chunk");
    Checks.isTrue(items >= chunks, "each chunk must have at least one item");
    Checks.isTrue(!resultRetention.isNegative(), "result retention must not be negative");
  }
}
