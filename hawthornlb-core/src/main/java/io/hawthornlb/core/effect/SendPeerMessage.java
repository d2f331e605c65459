package io.hawthornlb.core.effect;

import io.hawthornlb.core.model.InstanceId;
import io.hawthornlb.core.peer.PeerMessage;

/**
 * Effect that sends a message once to a peer. The message may be lost.
 *
 * @param target the peer
 * @param message the message
 */
public record SendPeerMessage(InstanceId target, PeerMessage message) implements Effect {}
