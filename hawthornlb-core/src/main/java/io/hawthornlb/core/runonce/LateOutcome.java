package io.hawthornlb.core.runonce;

import io.hawthornlb.core.model.PartitionId;
import io.hawthornlb.core.peer.PeerMessage;

/**
 * Sends the outcome of an attempt to the holder that superseded the holder which made the attempt.
 *
 * @param partition the partition
 * @param entry the entry of the ended attempt
 */
public record LateOutcome(PartitionId partition, RunOnceEntry entry)
    implements RunOnceEvent, PeerMessage {}
