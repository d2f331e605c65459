package io.hawthornlb.core.effect;

import io.hawthornlb.core.peer.PeerMessage;

/**
 * Effect that sends a message once to every other entry instance in a scope.
 *
 * @param message the message
 * @param scope which instances receive the message
 */
public record BroadcastPeerMessage(PeerMessage message, BroadcastScope scope) implements Effect {}
