package io.hawthornlb.core.job;

import io.hawthornlb.core.model.JobId;
import io.hawthornlb.core.model.WorkspaceId;
import java.time.Instant;

/**
 * One item that the holder assigns to a dispatcher, with what the dispatcher needs to schedule it.
 *
 * @param job the job
 * @param workspace the workspace of the job
 * @param location the position of the item in the log
 * @param submittedAt when the job was submitted
 * @param due when the job is due
 * @param remaining the number of items of the job without an outcome in the log, this item included
 * @param attempt the number of failed attempts before this one
 * @param atMostOnce whether the item must not be sent again once an endpoint has received a byte of
 *     it
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
