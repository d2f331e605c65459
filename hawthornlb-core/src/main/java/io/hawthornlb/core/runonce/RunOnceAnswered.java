package io.hawthornlb.core.runonce;

import io.hawthornlb.core.model.Epoch;
import io.hawthornlb.core.model.RequestId;
import io.hawthornlb.core.peer.PeerMessage;
import java.util.Optional;

/**
 * Reply of a holder to a {@link ForwardRunOnce}.
 *
 * @param id identifies the forwarded request
 * @param epoch the epoch of the forwarded request
 * @param answer the answer for the caller; empty if this instance has run nothing for the request
 *     and never will, so that the entry instance can forward the request to the current holder
 */
public record RunOnceAnswered(RequestId id, Epoch epoch, Optional<RunOnceAnswer> answer)
    implements PeerMessage {}
