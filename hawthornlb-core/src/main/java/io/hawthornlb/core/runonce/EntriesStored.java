package io.hawthornlb.core.runonce;

import io.hawthornlb.core.model.Epoch;
import io.hawthornlb.core.model.InstanceId;
import io.hawthornlb.core.model.PartitionId;
import io.hawthornlb.core.peer.PeerMessage;
import java.util.List;

/**
 * Reply of a replica to {@link StoreEntries}: which entries the replica keeps now.
 *
 * @param witness the replica
 * @param partition the partition
 * @param epoch the epoch of the request
 * @param stored the entries of the request that the replica keeps; entries for which it has no room
 *     are missing
 * @param fencedBy the later epoch because of which the replica refused the request, or the epoch of
 *     the request if it was accepted
 */
public record EntriesStored(
    InstanceId witness, PartitionId partition, Epoch epoch, List<EntryMark> stored, Epoch fencedBy)
    implements RunOnceEvent, PeerMessage {

  /** Copies the list of marks. */
  public EntriesStored {
    stored = List.copyOf(stored);
  }
}
