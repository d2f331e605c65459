package io.hawthornlb.core.runonce;

import io.hawthornlb.core.model.Epoch;
import io.hawthornlb.core.model.PartitionId;
import io.hawthornlb.core.peer.PeerMessage;
import java.util.List;

/**
 * Tells a witness that entries stand in the log; may be lost.
 *
 * @param partition the partition
 * @param epoch the epoch of the holder
 * @param entries the attempts
 */
public record ForgetEntries(PartitionId partition, Epoch epoch, List<EntryMark> entries)
    implements PeerMessage {

  /** Copies the marks. */
  public ForgetEntries {
    entries = List.copyOf(entries);
  }
}
