package io.hawthornlb.core.job;

import io.hawthornlb.core.model.InstanceId;
import io.hawthornlb.core.model.RequestId;
import io.hawthornlb.core.peer.PeerMessage;

/**
 * Asks the holder of a partition to accept a job whose chunks have been appended.
 *
 * <p>The holder replies with one {@link JobAnswer}.
 *
 * @param replyTo the entry instance that sends the request and receives the answer
 * @param request identifies this request in the answer
 * @param header the fixed properties of the job
 * @param firstSend whether the idempotency key cannot have been sent before, because the entry
 *     instance generated it for this submission
 */
public record SubmitJob(InstanceId replyTo, RequestId request, JobHeader header, boolean firstSend)
    implements JobEvent, PeerMessage {}
