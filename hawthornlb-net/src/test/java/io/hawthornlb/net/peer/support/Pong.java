package io.hawthornlb.net.peer.support;

import io.hawthornlb.core.model.InstanceId;
import io.hawthornlb.core.peer.PeerMessage;

/** The answer to a {@link Ping}, with the sender that the answering instance saw. */
record Pong(InstanceId sender, String text) implements PeerMessage {}
