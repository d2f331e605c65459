package io.hawthornlb.app.entry;

import io.hawthornlb.core.peer.PeerMessage;
import io.hawthornlb.net.platform.InstanceList;
import java.util.Optional;

/**
 * Gives the last list of instances that a peer has.
 *
 * @param list the list; empty if it has none
 */
public record InstanceListAnswer(Optional<InstanceList> list) implements PeerMessage {}
