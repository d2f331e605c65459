package io.hawthornlb.core.batch;

import io.hawthornlb.core.model.EndpointId;
import io.hawthornlb.core.model.InstanceId;
import io.hawthornlb.core.peer.PeerMessage;

/**
 * Informs the dispatcher of an endpoint that an entry instance sends the endpoint an online
 * request, or that such a request has ended.
 *
 * @param sender the entry instance that sends the message
 * @param endpoint id of the endpoint
 * @param inFlight number of online requests that the sender now has in flight at the endpoint
 */
public record OnlineNotice(InstanceId sender, EndpointId endpoint, int inFlight)
    implements PeerMessage {}
