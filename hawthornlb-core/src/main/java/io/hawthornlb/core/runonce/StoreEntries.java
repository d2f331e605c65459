package io.hawthornlb.core.runonce;

import io.hawthornlb.core.model.Epoch;
import io.hawthornlb.core.model.InstanceId;
import io.hawthornlb.core.model.PartitionId;
import io.hawthornlb.core.peer.PeerMessage;
import java.util.List;

/**
 * Asks a witness to keep entries until they stand in the log.
 *
 * <p>Answered by {@link EntriesStored}. Sending it again does no harm.
 *
 * @param holder the holder that asks
 * @param partition the partition
 * @param epoch the epoch of the holder
 * @param settled the epoch below which every intent stands in the log, so that the witness may drop
 *     what it keeps of those epochs
 * @param entries the attempts
 */
public record StoreEntries(
    InstanceId holder,
    PartitionId partition,
    Epoch epoch,
    Epoch settled,
    List<RunOnceEntry> entries)
    implements PeerMessage {

  /** Copies the entries. */
  public StoreEntries {
    entries = List.copyOf(entries);
  }
}
