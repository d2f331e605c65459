package io.hawthornlb.app.entry;

import io.hawthornlb.core.endpoint.LoadReport;
import io.hawthornlb.core.model.EndpointId;
import io.hawthornlb.core.peer.PeerMessage;

/**
 * Sends the load report of an endpoint to peers.
 *
 * @param endpoint the endpoint
 * @param report the load report
 */
public record LoadNotice(EndpointId endpoint, LoadReport report) implements PeerMessage {}
