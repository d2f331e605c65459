package io.hawthornlb.gateway.job;

import java.time.Duration;
import java.time.Instant;
import org.jspecify.annotations.Nullable;

/**
 * Decides whether this process belongs to the group that shares the partitions. Performs no I/O;
 * the time is passed in.
 *
 * <p>Each process that joins or leaves the group moves partitions, and with each partition all
 * items that run there. During a rolling restart of a large fleet this would go on for minutes,
 * while an item runs for seconds. Therefore only as many processes are members as there are
 * partitions; restarts of the others move nothing.
 */
final class HolderSelection {

  /**
   * Number of ranks beyond the partition count at which a member stays a member, since the
   * processes' views of the fleet differ.
   */
  private static final int EXTRA_RANKS = 4;

  /**
   * Time for which a member must rank beyond these extra ranks before it leaves; longer than a
   * suspicion lasts.
   */
  private static final Duration LEAVE_AFTER = Duration.ofSeconds(10);

  private final int partitions;
  private boolean member;
  private @Nullable Instant behindSince;

  HolderSelection(int partitions) {
    this.partitions = partitions;
  }

  /**
   * Returns whether this process is a member.
   *
   * @param rank rank of this process among those that are not suspected of being silent
   */
  boolean member(int rank, Instant now) {
    if (rank < partitions) {
      member = true;
    }
    if (!member || rank < partitions + EXTRA_RANKS) {
      behindSince = null;
      return member;
    }
    if (behindSince == null) {
      behindSince = now;
    }
    member = now.isBefore(behindSince.plus(LEAVE_AFTER));
    return member;
  }
}
