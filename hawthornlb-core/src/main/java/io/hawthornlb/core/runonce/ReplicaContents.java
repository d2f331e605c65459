package io.hawthornlb.core.runonce;

import io.hawthornlb.core.model.Epoch;
import io.hawthornlb.core.model.InstanceId;
import io.hawthornlb.core.model.PartitionId;
import io.hawthornlb.core.peer.PeerMessage;
import java.util.List;

/**
 * Reply to {@link FenceAndCollect}: one page of the entries that a fenced replica keeps of an old
 * epoch.
 *
 * @param witness the replica
 * @param partition the partition
 * @param epoch the epoch of the new holder
 * @param oldEpoch the epoch to which the entries belong
 * @param from the number of entries in the pages before this one
 * @param entries the entries of this page
 * @param more whether further pages follow
 */
public record ReplicaContents(
    InstanceId witness,
    PartitionId partition,
    Epoch epoch,
    Epoch oldEpoch,
    int from,
    List<RunOnceEntry> entries,
    boolean more)
    implements RunOnceEvent, PeerMessage {

  /** Copies the list of entries. */
  public ReplicaContents {
    entries = List.copyOf(entries);
  }
}
