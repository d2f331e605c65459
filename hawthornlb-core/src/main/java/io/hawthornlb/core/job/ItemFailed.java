package io.hawthornlb.core.job;

import io.hawthornlb.core.model.InstanceId;
import io.hawthornlb.core.peer.PeerMessage;

/**
 * Reports to the holder that an attempt gave no result, or that the dispatcher returns an item
 * because online requests preempted it.
 *
 * @param steward the dispatcher that the item was assigned to
 * @param item the item
 * @param customId the id that the caller gave the item
 * @param kind whether the item may be retried and whether the attempt counts
 * @param cause why the attempt failed
 */
public record ItemFailed(
    InstanceId steward, ItemKey item, String customId, FailureKind kind, String cause)
    implements JobEvent, PeerMessage {}
