package io.hawthornlb.core.endpoint;

import io.hawthornlb.core.model.EndpointId;
import io.hawthornlb.core.peer.PeerMessage;
import java.time.Instant;

/**
 * Tells peers what this instance observed about an endpoint.
 *
 * @param endpoint the endpoint
 * @param observation what was observed
 * @param at when
 */
public record EndpointNotice(EndpointId endpoint, Observation observation, Instant at)
    implements PeerMessage {}
