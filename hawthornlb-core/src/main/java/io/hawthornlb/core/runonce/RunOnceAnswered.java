package io.hawthornlb.core.runonce;

import io.hawthornlb.core.model.Epoch;
import io.hawthornlb.core.model.RequestId;
import io.hawthornlb.core.peer.PeerMessage;
import java.util.Optional;

/**
 * The holder's answer to a {@link ForwardRunOnce}.
 *
 * @param id identifies the question
 * @param epoch the epoch of the question
 * @param answer what the caller is told, or empty if this instance has run nothing for the question
 *     and never will, so that the current holder is to be asked
 */
public record RunOnceAnswered(RequestId id, Epoch epoch, Optional<RunOnceAnswer> answer)
    implements PeerMessage {}
