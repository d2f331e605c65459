package io.hawthornlb.app.entry;

import io.hawthornlb.core.peer.PeerMessage;

/**
 * Wraps a message to an entry instance of another data centre, which broadcasts the message there.
 *
 * @param content the encoded message
 */
public record RelayedMessage(byte[] content) implements PeerMessage {}
