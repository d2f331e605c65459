package io.hawthornlb.net.peer.support;

import io.hawthornlb.core.peer.PeerMessage;

/** A request for tests. */
record Ping(String text) implements PeerMessage {}
