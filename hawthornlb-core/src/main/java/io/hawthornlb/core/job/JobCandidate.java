package io.hawthornlb.core.job;

import io.hawthornlb.core.model.JobId;
import io.hawthornlb.core.model.WorkspaceId;
import java.time.Instant;

/**
 * A job with an item that could be given out.
 *
 * @param job the job
 * @param workspace its workspace
 * @param due when it is due
 * @param waitingSince when an item of it was last given out, or when it was submitted
 */
public record JobCandidate(JobId job, WorkspaceId workspace, Instant due, Instant waitingSince) {}
