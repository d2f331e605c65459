package io.hawthornlb.core.job;

import io.hawthornlb.core.model.InstanceId;
import io.hawthornlb.core.model.RequestId;
import io.hawthornlb.core.peer.PeerMessage;

/**
 * Asks the holder to accept a job whose chunks have been appended.
 *
 * <p>Answered by one {@link JobAnswer}.
 *
 * @param replyTo the entry that asks
 * @param request identifies the question
 * @param header the job
 */
public record SubmitJob(InstanceId replyTo, RequestId request, JobHeader header)
    implements JobEvent, PeerMessage {}
