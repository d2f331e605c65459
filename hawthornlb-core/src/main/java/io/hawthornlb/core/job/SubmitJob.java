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
 * @param firstSend whether nobody can have sent the key before, since an entry made it just now
 */
public record SubmitJob(InstanceId replyTo, RequestId request, JobHeader header, boolean firstSend)
    implements JobEvent, PeerMessage {}
