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
 * <p>Who holds a partition follows from the log alone; this decider only chooses when to try.
 * Confined to one thread.
 */
public interface ClaimManager {

  /** Hears of each record of the stream of claims, after the fold has taken it. */
  void onRecord(LogRecord entry);

  /** Hears which instances the platform lists; those that it lists no more are doubted sooner. */
  void onListed(Set<InstanceId> listed);

  /** Decides anew; to be called at least twice in a renewal interval. */
  List<AppendRecord> onTick();

  /** Hands over everything; {@link #onTick} goes on until {@link #stopped()}. */
  List<AppendRecord> stop();

  /** Returns whether the stop has been asked for and this instance holds nothing any more. */
  boolean stopped();

  /** Returns the instances that are in service by the log, this one included unless it leaves. */
  Set<InstanceId> live();

  /** Returns whether this instance is the first to write the snapshots of a stream; a hint. */
  boolean writesFirst(StreamName stream);
}
