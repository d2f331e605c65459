package io.hawthornlb.app.entry;

import io.hawthornlb.core.peer.PeerMessage;
import io.hawthornlb.net.platform.InstanceList;
import java.util.Optional;

/**
 * Answers an {@link InstanceListRequest} with the last list of instances that the peer has
 * received.
 *
 * @param list the list; empty if the peer has none
 */
public record InstanceListAnswer(Optional<InstanceList> list) implements PeerMessage {}
