package io.hawthornlb.core.runonce;

import io.hawthornlb.core.model.Epoch;
import io.hawthornlb.core.model.InstanceId;
import io.hawthornlb.core.model.PartitionId;
import io.hawthornlb.core.peer.PeerMessage;
import java.util.List;

/**
 * Says which entries a witness keeps now.
 *
 * @param witness the witness
 * @param partition the partition
 * @param epoch the epoch that was asked for
 * @param stored what it keeps of the question; entries that it had no room for are missing
 * @param fencedBy the epoch that fences the question, or the epoch itself if none does
 */
public record EntriesStored(
    InstanceId witness, PartitionId partition, Epoch epoch, List<EntryMark> stored, Epoch fencedBy)
    implements RunOnceEvent, PeerMessage {

  /** Copies the marks. */
  public EntriesStored {
    stored = List.copyOf(stored);
  }
}
