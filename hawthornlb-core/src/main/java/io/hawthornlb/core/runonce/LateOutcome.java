package io.hawthornlb.core.runonce;

import io.hawthornlb.core.model.PartitionId;
import io.hawthornlb.core.peer.PeerMessage;

/**
 * Hands the outcome of an attempt to the holder that superseded the one that made it.
 *
 * @param partition the partition
 * @param entry the ended attempt
 */
public record LateOutcome(PartitionId partition, RunOnceEntry entry)
    implements RunOnceEvent, PeerMessage {}
