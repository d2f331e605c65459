package io.hawthornlb.core.job;

import io.hawthornlb.core.model.JobId;
import io.hawthornlb.core.model.WorkspaceId;
import java.time.Instant;

/**
 * A job with at least one item that is ready to be dispatched.
 *
 * @param job the job
 * @param workspace the workspace that submitted the job
 * @param due when the job is due
 * @param waitingSince when an item of the job was last dispatched, or when the job was submitted
 */
public record JobCandidate(JobId job, WorkspaceId workspace, Instant due, Instant waitingSince) {}
