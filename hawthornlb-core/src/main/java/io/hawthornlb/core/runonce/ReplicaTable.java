package io.hawthornlb.core.runonce;

import io.hawthornlb.core.model.Epoch;
import io.hawthornlb.core.model.PartitionId;
import java.time.Instant;

/**
 * Keeps entries of other holders, and of the partitions that this instance holds, in memory until
 * they are in the log.
 *
 * <p>The table is bounded. It does not store an entry for which it has no room, and it never evicts
 * one entry for another.
 */
public interface ReplicaTable {

  /**
   * Stores the entries of a request unless its epoch is fenced, and returns which of them are kept.
   */
  EntriesStored store(StoreEntries request, Instant now);

  /** Drops entries that are in the log. */
  void forget(ForgetEntries message);

  /**
   * Refuses entries of epochs older than the one of the request from now on, and returns a page of
   * the kept entries of its old epoch.
   */
  ReplicaContents fence(FenceAndCollect request);

  /** Returns the lowest epoch whose holder may still store entries of a partition. */
  Epoch fence(PartitionId partition);

  /** Returns the number of kept entries. */
  int size();
}
