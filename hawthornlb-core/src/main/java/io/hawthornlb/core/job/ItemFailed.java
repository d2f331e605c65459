package io.hawthornlb.core.job;

import io.hawthornlb.core.model.InstanceId;
import io.hawthornlb.core.peer.PeerMessage;

/**
 * Reports an attempt that gave no result, or an item handed back in favour of online requests.
 *
 * @param steward the steward that had it
 * @param item the item
 * @param customId the caller's name of the item
 * @param kind what the failure says about further attempts
 * @param cause why it failed
 */
public record ItemFailed(
    InstanceId steward, ItemKey item, String customId, FailureKind kind, String cause)
    implements JobEvent, PeerMessage {}
