package io.hawthornlb.core.runonce;

import io.hawthornlb.core.model.Epoch;
import io.hawthornlb.core.model.InstanceId;
import io.hawthornlb.core.model.PartitionId;
import io.hawthornlb.core.peer.PeerMessage;
import java.util.List;

/**
 * Request to a replica: keep entries until they are in the log.
 *
 * <p>The replica replies with {@link EntriesStored}. The request is idempotent.
 *
 * @param holder the holder that sends the request
 * @param partition the partition
 * @param epoch the epoch of the holder
 * @param settled the epoch below which every intent is in the log, so that the replica may drop the
 *     entries of those epochs
 * @param entries the entries to keep
 */
public record StoreEntries(
    InstanceId holder,
    PartitionId partition,
    Epoch epoch,
    Epoch settled,
    List<RunOnceEntry> entries)
    implements PeerMessage {

  /** Copies the list of entries. */
  public StoreEntries {
    entries = List.copyOf(entries);
  }
}
