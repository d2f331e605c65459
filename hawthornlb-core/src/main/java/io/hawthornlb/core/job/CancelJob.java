package io.hawthornlb.core.job;

import io.hawthornlb.core.model.InstanceId;
import io.hawthornlb.core.model.JobId;
import io.hawthornlb.core.model.RequestId;
import io.hawthornlb.core.model.WorkspaceId;
import io.hawthornlb.core.peer.PeerMessage;

/**
 * Asks the holder to cancel a job.
 *
 * <p>Answered by one {@link JobAnswer}.
 *
 * @param replyTo the entry that asks
 * @param request identifies the question
 * @param workspace the workspace that asks; jobs of others are not found
 * @param job the job
 */
public record CancelJob(InstanceId replyTo, RequestId request, WorkspaceId workspace, JobId job)
    implements JobEvent, PeerMessage {}
