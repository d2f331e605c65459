package io.hawthornlb.core.endpoint;

import io.hawthornlb.core.model.EndpointId;
import io.hawthornlb.core.peer.PeerMessage;

/**
 * Passes a load report from the steward that fetched it to its peers.
 *
 * @param endpoint the endpoint
 * @param report its report, with the batch items filled in
 */
public record LoadNotice(EndpointId endpoint, LoadReport report) implements PeerMessage {}
