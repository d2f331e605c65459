package io.hawthornlb.core.runonce;

import io.hawthornlb.core.model.Epoch;
import io.hawthornlb.core.model.PartitionId;
import io.hawthornlb.core.peer.PeerMessage;
import java.util.List;

/**
 * Tells a replica that entries are in the log, so that it can drop them. The message may be lost.
 *
 * @param partition the partition
 * @param epoch the epoch of the holder
 * @param entries the entries to drop
 */
public record ForgetEntries(PartitionId partition, Epoch epoch, List<EntryMark> entries)
    implements PeerMessage {

  /** Copies the list of marks. */
  public ForgetEntries {
    entries = List.copyOf(entries);
  }
}
