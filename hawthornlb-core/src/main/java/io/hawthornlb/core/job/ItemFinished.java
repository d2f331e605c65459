package io.hawthornlb.core.job;

import io.hawthornlb.core.model.InstanceId;
import io.hawthornlb.core.peer.PeerMessage;

/**
 * Reports the result of an item.
 *
 * @param steward the steward that ran it
 * @param item the item
 * @param customId the caller's name of the item
 * @param result the body of the answer
 */
public record ItemFinished(InstanceId steward, ItemKey item, String customId, String result)
    implements JobEvent, PeerMessage {}
