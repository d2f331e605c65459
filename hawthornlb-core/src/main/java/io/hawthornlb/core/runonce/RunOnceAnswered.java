package io.hawthornlb.core.runonce;

import io.hawthornlb.core.model.RequestId;
import io.hawthornlb.core.peer.PeerMessage;
import java.util.Optional;

/**
 * The holder's answer to a {@link ForwardRunOnce}.
 *
 * @param id identifies the question
 * @param answer what the caller is told, or empty if this instance does not decide for the key and
 *     the current holder is to be asked
 */
public record RunOnceAnswered(RequestId id, Optional<RunOnceAnswer> answer)
    implements PeerMessage {}
