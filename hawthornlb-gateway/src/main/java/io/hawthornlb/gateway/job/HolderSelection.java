package io.hawthornlb.gateway.job;

import java.time.Duration;
import java.time.Instant;
import org.jspecify.annotations.Nullable;

/**
 * Decides whether this process is among those that share the partitions. No I/O; time is passed in.
 *
 * <p>Load pattern: each process that joins or leaves the group moves partitions, and with each of
 * them all items that run there. In a large fleet that is restarted in turn this goes on for
 * minutes, and an item runs for seconds. So only as many share the partitions as there are of them;
 * the others' restarts move nothing.
 */
final class HolderSelection {

  /** Ranks beyond the number of partitions at which a member stays; views of the fleet differ. */
  private static final int STAYS = 4;

  /** Time for which a member must rank behind that before it leaves; longer than a suspicion. */
  private static final Duration LEAVE_AFTER = Duration.ofSeconds(10);

  private final int partitions;
  private boolean member;
  private @Nullable Instant behindSince;

  HolderSelection(int partitions) {
    this.partitions = partitions;
  }

  /** Returns whether the process at a rank among those that do not seem silent is a member. */
  boolean member(int rank, Instant now) {
    if (rank < partitions) {
      member = true;
    }
    if (!member || rank < partitions + STAYS) {
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
