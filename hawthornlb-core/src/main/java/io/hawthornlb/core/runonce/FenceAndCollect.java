package io.hawthornlb.core.runonce;

import io.hawthornlb.core.model.Epoch;
import io.hawthornlb.core.model.InstanceId;
import io.hawthornlb.core.model.PartitionId;
import io.hawthornlb.core.peer.PeerMessage;

/**
 * Asks a witness of an earlier epoch to store nothing for it from now on and to hand over what it
 * keeps.
 *
 * <p>Answered by {@link ReplicaContents}.
 *
 * @param successor the new holder
 * @param partition the partition
 * @param epoch the epoch of the new holder
 * @param oldEpoch the epoch that named the witness
 * @param from how many entries were handed over before
 */
public record FenceAndCollect(
    InstanceId successor, PartitionId partition, Epoch epoch, Epoch oldEpoch, int from)
    implements PeerMessage {}
