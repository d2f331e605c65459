package io.hawthornlb.core.job;

import io.hawthornlb.core.model.InstanceId;
import io.hawthornlb.core.peer.PeerMessage;

/**
 * Reports the result of an item to the holder.
 *
 * @param steward the dispatcher that ran the item
 * @param item the item
 * @param customId the id that the caller gave the item
 * @param result the body of the endpoint's response
 */
public record ItemFinished(InstanceId steward, ItemKey item, String customId, String result)
    implements JobEvent, PeerMessage {}
