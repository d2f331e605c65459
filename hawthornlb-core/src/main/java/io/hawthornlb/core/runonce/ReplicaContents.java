package io.hawthornlb.core.runonce;

import io.hawthornlb.core.model.Epoch;
import io.hawthornlb.core.model.InstanceId;
import io.hawthornlb.core.model.PartitionId;
import io.hawthornlb.core.peer.PeerMessage;
import java.util.List;

/**
 * Hands over what a fenced witness keeps of an old epoch.
 *
 * @param witness the witness
 * @param partition the partition
 * @param epoch the epoch of the new holder
 * @param oldEpoch the epoch whose entries these are
 * @param from how many entries were handed over before
 * @param entries the next entries
 * @param more whether there are further ones
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

  /** Copies the entries. */
  public ReplicaContents {
    entries = List.copyOf(entries);
  }
}
