package io.hawthornlb.core.job;

import io.hawthornlb.core.model.JobId;
import io.hawthornlb.core.model.WorkspaceId;
import io.hawthornlb.core.util.Checks;
import java.time.Duration;
import java.time.Instant;

/**
 * What is fixed about a job when it is submitted.
 *
 * @param id the job
 * @param workspace the workspace that submitted it
 * @param idempotencyKey the caller's key; the same key names the same job
 * @param contentHash a hash of all items and options; other content under the key is a conflict
 * @param submission the upload whose chunks hold the items
 * @param chunks the number of chunks
 * @param items the number of items
 * @param due when the caller needs the results
 * @param submittedAt when the entry took the submission
 * @param resultRetention how long results stay readable after the end
 * @param atMostOnce whether items may not be executed twice
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
    Checks.isTrue(chunks > 0, "a job needs a chunk");
    Checks.isTrue(items >= chunks, "a chunk needs an item");
    Checks.isTrue(!resultRetention.isNegative(), "result retention must not be negative");
  }
}
