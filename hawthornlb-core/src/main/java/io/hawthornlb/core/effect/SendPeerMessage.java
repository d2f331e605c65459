package io.hawthornlb.core.effect;

import io.hawthornlb.core.model.InstanceId;
import io.hawthornlb.core.peer.PeerMessage;

/**
 * Asks for a message to be sent once to a peer; it may be lost.
 *
 * @param target the peer
 * @param message the message
 */
public record SendPeerMessage(InstanceId target, PeerMessage message) implements Effect {}
