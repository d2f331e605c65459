package io.hawthornlb.gateway.job;

import com.dynatrace.hash4j.hashing.Hashing;
import java.time.Duration;
import java.time.Instant;
import java.util.Set;
import org.jspecify.annotations.Nullable;

/**
 * Decides whether this process belongs to the group that shares the partitions. Performs no I/O;
 * the time is passed in.
 *
 * <p>Each process that joins or leaves the group moves partitions, and with each partition all
 * items that run there. During a rolling restart of a large fleet this would go on for minutes,
 * while an item runs for seconds. Therefore only as many processes are members as there are
 * partitions; restarts of the others move nothing.
 *
 * <p>Ranks count listed processes, and one that was lost without a stop signal stays listed. If
 * enough of them rank before all others, nobody is a member and accepted jobs run nowhere.
 * Therefore processes also become members, in the order of their ranks, while the store names too
 * few holders.
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

  /**
   * Time for which there must be too few holders before another process joins; longer than a
   * restart and the lease of a member.
   */
  private static final Duration SHORTAGE = Duration.ofSeconds(4);

  /** Time by which the last rank joins later than the first, so that not all join at once. */
  private static final Duration STAGGER = Duration.ofSeconds(3);

  /** Age up to which the names of the holders count for a decision. */
  private static final Duration MAX_AGE = Duration.ofSeconds(2);

  /** Pause between two lookups of the holders while there are too few. */
  private static final Duration SHORTAGE_LOOKUP_PAUSE = Duration.ofSeconds(1);

  /** Shortest pause between two lookups otherwise. */
  private static final Duration MIN_LOOKUP_PAUSE = Duration.ofSeconds(5);

  /** Pause for each listed process, so that the fleet makes some four lookups a second at most. */
  private static final Duration LOOKUP_PAUSE_PER_INSTANCE = Duration.ofMillis(250);

  /** Number of moments within a pause at which processes look up. */
  private static final int PHASES = 997;

  private final int partitions;
  private final String self;
  private final int phase;
  private boolean member;
  private boolean needed;
  private int others;
  private int instances;
  private @Nullable Instant lookedUpAt;
  private @Nullable Instant triedAt;
  private @Nullable Instant behindSince;
  private @Nullable Instant shortageSince;

  HolderSelection(int partitions, String self) {
    this.partitions = partitions;
    this.self = self;
    this.phase = Math.floorMod(Hashing.wyhashFinal4().hashCharsToLong(self), PHASES);
  }

  /**
   * Returns whether this process is a member.
   *
   * @param rank rank of this process among those that are not suspected of being silent
   */
  boolean member(int rank, Instant now) {
    if (rank < partitions) {
      member = true;
      needed = false;
    }
    if (!member || rank < partitions + EXTRA_RANKS) {
      behindSince = null;
    } else if (behindSince == null) {
      behindSince = now;
    } else if (!now.isBefore(behindSince.plus(LEAVE_AFTER)) && current(now)) {
      member = false;
      needed = tooFew();
    }
    needed = needed ? others < partitions - 1 : joinsByNeed(rank, now);
    return member || needed;
  }

  private boolean joinsByNeed(int rank, Instant now) {
    Instant since = shortageSince;
    return !member
        && since != null
        && current(now)
        && !now.isBefore(since.plus(SHORTAGE).plus(stagger(rank)));
  }

  private Duration stagger(int rank) {
    long ranks = Math.max(1, instances - partitions);
    return STAGGER.multipliedBy(rank - partitions).dividedBy(ranks);
  }

  /** Takes note of the processes that hold partitions according to the store. */
  void holders(Set<String> names, Instant now) {
    others = names.size() - (names.contains(self) ? 1 : 0);
    lookedUpAt = now;
    if (!tooFew()) {
      shortageSince = null;
    } else if (shortageSince == null) {
      shortageSince = now;
    }
  }

  /**
   * Returns whether the holders should be looked up now, which the caller does if they should.
   *
   * @param listed number of listed processes
   */
  boolean lookupDue(int listed, Instant now) {
    instances = listed;
    if (member && behindSince == null) {
      return false;
    }
    Duration perInstance = LOOKUP_PAUSE_PER_INSTANCE.multipliedBy(instances);
    Duration usual = perInstance.compareTo(MIN_LOOKUP_PAUSE) > 0 ? perInstance : MIN_LOOKUP_PAUSE;
    Duration pause = shortageSince != null || member ? SHORTAGE_LOOKUP_PAUSE : usual;
    if (triedAt == null) {
      // Processes that start together do not look up together.
      triedAt = now.minus(usual.multipliedBy(phase).dividedBy(PHASES));
    }
    boolean due = !now.isBefore(triedAt.plus(pause));
    triedAt = due ? now : triedAt;
    return due;
  }

  private boolean tooFew() {
    return others < (partitions + 1) / 2;
  }

  private boolean current(Instant now) {
    return lookedUpAt != null && !lookedUpAt.isBefore(now.minus(MAX_AGE));
  }
}
