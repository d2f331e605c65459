package io.hawthornlb.core.batch;

import io.hawthornlb.core.model.EndpointId;
import io.hawthornlb.core.model.InstanceId;
import io.hawthornlb.core.peer.PeerMessage;

/**
 * Tells the steward of an endpoint that an entry sends it an online request, or that one ended.
 *
 * @param sender the entry
 * @param endpoint the endpoint
 * @param inFlight online requests of the sender now in flight at the endpoint
 */
public record OnlineNotice(InstanceId sender, EndpointId endpoint, int inFlight)
    implements PeerMessage {}
