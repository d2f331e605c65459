package io.hawthornlb.core.runonce;

import io.hawthornlb.core.model.Epoch;
import io.hawthornlb.core.model.InstanceId;
import io.hawthornlb.core.model.RequestId;
import io.hawthornlb.core.peer.PeerMessage;

/**
 * Forwards a request to the holder of its partition.
 *
 * <p>The holder replies with exactly one {@link RunOnceAnswered}, unless it is lost.
 *
 * @param epoch the epoch of the claim from which the entry instance knows the holder
 * @param replyTo the entry instance, which receives the reply
 * @param id identifies the request in the reply
 * @param request the request
 * @param firstSend whether this key cannot have been sent before: the entry instance generated the
 *     key, and this is the first time that it forwards it
 */
public record ForwardRunOnce(
    Epoch epoch, InstanceId replyTo, RequestId id, RunOnceRequest request, boolean firstSend)
    implements RunOnceEvent, PeerMessage {}
