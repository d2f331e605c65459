package io.hawthornlb.app.entry;

import io.hawthornlb.core.peer.PeerMessage;

/**
 * Asks a peer for the last list of instances that it has; answered by {@link InstanceListAnswer}.
 */
public record InstanceListRequest() implements PeerMessage {}
