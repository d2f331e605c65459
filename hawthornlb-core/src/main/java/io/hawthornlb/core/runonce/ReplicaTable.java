package io.hawthornlb.core.runonce;

import io.hawthornlb.core.model.Epoch;
import io.hawthornlb.core.model.PartitionId;
import java.time.Instant;

/**
 * Keeps entries of other holders, and of this instance's own partitions, in memory until they stand
 * in the log.
 *
 * <p>Bounded: an entry for which there is no room is not stored, and none is dropped for another.
 */
public interface ReplicaTable {

  /** Stores what the epoch of the question still may and returns what is kept. */
  EntriesStored store(StoreEntries question, Instant now);

  /** Drops entries that stand in the log. */
  void forget(ForgetEntries message);

  /** Fences the older epochs and returns what is kept of the one that is asked for. */
  ReplicaContents fence(FenceAndCollect question);

  /** Returns the lowest epoch that may still store entries of a partition. */
  Epoch fence(PartitionId partition);

  /** Returns the number of entries. */
  int size();
}
