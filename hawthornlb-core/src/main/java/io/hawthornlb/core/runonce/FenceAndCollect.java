package io.hawthornlb.core.runonce;

import io.hawthornlb.core.model.Epoch;
import io.hawthornlb.core.model.InstanceId;
import io.hawthornlb.core.model.PartitionId;
import io.hawthornlb.core.peer.PeerMessage;

/**
 * Request to a replica of an earlier epoch: store no more entries for that epoch, and return the
 * entries kept.
 *
 * <p>The replica replies with one page of entries in {@link ReplicaContents}.
 *
 * @param successor the new holder, which sends the request
 * @param partition the partition
 * @param epoch the epoch of the new holder
 * @param oldEpoch the earlier epoch whose entries are collected
 * @param from the number of entries that the successor has already received from this replica
 */
public record FenceAndCollect(
    InstanceId successor, PartitionId partition, Epoch epoch, Epoch oldEpoch, int from)
    implements PeerMessage {}
