package io.hawthornlb.core.job;

import io.hawthornlb.core.model.JobId;
import io.hawthornlb.core.model.WorkspaceId;
import java.time.Instant;

/**
 * One item given to a steward.
 *
 * @param job the job
 * @param workspace the workspace of the job
 * @param location where the item stands in the log
 * @param submittedAt when the job was submitted
 * @param due when the job is due
 * @param remaining items of the job that have no outcome in the log, this one included
 * @param attempt how often it was tried before
 * @param atMostOnce whether it may not be sent again once an endpoint has had a byte of it
 */
public record ItemDispatch(
    JobId job,
    WorkspaceId workspace,
    ItemLocation location,
    Instant submittedAt,
    Instant due,
    int remaining,
    int attempt,
    boolean atMostOnce) {}
