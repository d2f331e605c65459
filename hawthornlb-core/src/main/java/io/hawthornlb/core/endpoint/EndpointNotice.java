package io.hawthornlb.core.endpoint;

import io.hawthornlb.core.model.EndpointId;
import io.hawthornlb.core.peer.PeerMessage;
import java.time.Instant;

/**
 * Informs peers about an observation that this instance made at an endpoint.
 *
 * @param endpoint id of the endpoint
 * @param observation what the instance observed
 * @param at time of the observation
 */
public record EndpointNotice(EndpointId endpoint, Observation observation, Instant at)
    implements PeerMessage {}
