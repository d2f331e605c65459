package io.hawthornlb.net.peer.support;

import io.hawthornlb.core.model.InstanceId;
import io.hawthornlb.core.peer.PeerMessage;

/** The response to a {@link Ping}, with the sender that the responding instance observed. */
record Pong(InstanceId sender, String text) implements PeerMessage {}
