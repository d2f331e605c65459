package io.hawthornlb.core.job;

import io.hawthornlb.core.model.InstanceId;
import io.hawthornlb.core.model.JobId;
import io.hawthornlb.core.model.RequestId;
import io.hawthornlb.core.model.WorkspaceId;
import io.hawthornlb.core.peer.PeerMessage;

/**
 * Asks the holder of a partition to cancel a job.
 *
 * <p>The holder replies with one {@link JobAnswer}.
 *
 * @param replyTo the entry instance that sends the request and receives the answer
 * @param request identifies this request in the answer
 * @param workspace the workspace of the caller; a job of another workspace is answered as not found
 * @param job the job to cancel
 */
public record CancelJob(InstanceId replyTo, RequestId request, WorkspaceId workspace, JobId job)
    implements JobEvent, PeerMessage {}
