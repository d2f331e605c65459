package io.hawthornlb.app.entry;

import io.hawthornlb.core.endpoint.LoadReport;
import io.hawthornlb.core.model.EndpointId;
import io.hawthornlb.core.peer.PeerMessage;

/**
 * Tells peers what an endpoint said about its load.
 *
 * @param endpoint the endpoint
 * @param report what it said
 */
public record LoadNotice(EndpointId endpoint, LoadReport report) implements PeerMessage {}
