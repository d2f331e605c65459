package io.hawthornlb.core.effect;

import io.hawthornlb.core.peer.PeerMessage;

/**
 * Asks for a message to be sent once to every other entry instance.
 *
 * @param message the message
 * @param scope how far it goes
 */
public record BroadcastPeerMessage(PeerMessage message, BroadcastScope scope) implements Effect {}
