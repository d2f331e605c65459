package io.hawthornlb.app.entry;

import io.hawthornlb.core.peer.PeerMessage;

/**
 * Requests the last list of instances that a peer has received. The peer answers with {@link
 * InstanceListAnswer}.
 */
public record InstanceListRequest() implements PeerMessage {}
