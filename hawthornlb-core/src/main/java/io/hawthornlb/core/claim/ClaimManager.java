package io.hawthornlb.core.claim;

import io.hawthornlb.core.effect.AppendRecord;
import io.hawthornlb.core.log.LogRecord;
import io.hawthornlb.core.log.StreamName;
import io.hawthornlb.core.model.InstanceId;
import java.util.List;
import java.util.Set;

/**
 * Decides which partitions this instance claims, renews and hands over.
 *
 * <p>The records of the log alone determine who holds a partition; the manager only chooses when
 * this instance tries to claim one. Confined to one thread.
 */
public interface ClaimManager {

  /**
   * Processes a record of the stream of claims; called for each record after the fold has applied
   * it.
   */
  void onRecord(LogRecord entry);

  /**
   * Processes the list of instances that the platform reports. An instance that is no longer listed
   * counts as silent after a shorter time.
   */
  void onListed(Set<InstanceId> listed);

  /**
   * Returns the records to append now: renewals, claims, releases and snapshots. Call this method
   * at least twice in each renewal interval.
   */
  List<AppendRecord> onTick();

  /**
   * Starts to hand over all partitions of this instance, and returns the first records to append.
   * The caller continues to call {@link #onTick} until {@link #stopped()} returns true.
   */
  List<AppendRecord> stop();

  /** Returns whether a stop was requested and this instance no longer holds any partition. */
  boolean stopped();

  /**
   * Returns the instances that are in service according to the log. This instance is included
   * unless it is leaving.
   */
  Set<InstanceId> live();

  /**
   * Returns whether this instance is the preferred writer of the snapshots of a stream. Instances
   * may disagree for a while, which does no harm.
   */
  boolean isPreferredSnapshotWriter(StreamName stream);
}
