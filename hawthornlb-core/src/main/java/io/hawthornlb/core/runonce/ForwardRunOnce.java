package io.hawthornlb.core.runonce;

import io.hawthornlb.core.model.Epoch;
import io.hawthornlb.core.model.InstanceId;
import io.hawthornlb.core.model.RequestId;
import io.hawthornlb.core.peer.PeerMessage;

/**
 * Brings a request to the holder of its partition.
 *
 * <p>Answered by one {@link RunOnceAnswered}, unless the holder is lost.
 *
 * @param epoch the epoch of the claim by which the entry knows the holder
 * @param replyTo the entry that asks
 * @param id identifies the question
 * @param request the request
 * @param firstSend whether nobody can have sent this key before: an entry made it, and this is the
 *     first time that it is sent on
 */
public record ForwardRunOnce(
    Epoch epoch, InstanceId replyTo, RequestId id, RunOnceRequest request, boolean firstSend)
    implements RunOnceEvent, PeerMessage {}
