package io.hawthornlb.app.entry;

import io.hawthornlb.core.peer.PeerMessage;

/**
 * Carries a message to one entry of another data centre, which passes it on there.
 *
 * @param content the encoded message
 */
public record RelayedMessage(byte[] content) implements PeerMessage {}
