package io.hawthornlb.core.learned;

import java.time.Duration;
import java.time.Instant;
import java.util.Comparator;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.function.ToIntFunction;

/**
 * Collects the snapshots of one service and selects the one that a new coordinator restores.
 *
 * <p>Snapshots may arrive late, repeatedly, in any order, or in parts. Of each coordinator the one
 * with the highest version is kept. The most recently learned one is selected. During a network
 * partition several coordinators learn at the same time; then the one that ranks highest is
 * selected.
 */
public final class LearnedStateSelection {

  /** Age up to which all figures are used; the demand may be another one after that. */
  public static final Duration FRESH_AGE = Duration.ofSeconds(60);

  /** Age up to which slowly changing figures are used. */
  public static final Duration MAX_AGE = Duration.ofSeconds(600);

  /**
   * Difference of age within which two coordinators count as having learned at the same time: two
   * intervals at which a coordinator sends its state.
   */
  static final Duration CONCURRENT = Duration.ofSeconds(4);

  /**
   * Maximum time by which the clock of another instance may be ahead. A later version or time is
   * foreign, and would otherwise prevent that later ones are accepted.
   */
  static final Duration MAX_CLOCK_LEAD = Duration.ofSeconds(60);

  /** Maximum number of coordinators whose snapshots are kept. */
  static final int MAX_COORDINATORS = 4;

  private static final Comparator<LearnedStateCandidate> BY_TIME =
      Comparator.comparing(LearnedStateCandidate::learnedAt);

  private final Map<String, LearnedStateCandidate> candidates = new HashMap<>();

  /**
   * Returns the version of a changed snapshot: the time in milliseconds, so that it exceeds those
   * before a restart, and at least one above the last version, so that it also exceeds those of a
   * predecessor whose clock is ahead.
   */
  public static long nextVersion(long last, Instant now) {
    return Math.max(last + 1, now.toEpochMilli());
  }

  /** Returns the figures that are still used at an age; empty if there are none. */
  public static Optional<LearnedState> usable(LearnedState state, Duration age) {
    if (age.compareTo(MAX_AGE) > 0) {
      return Optional.empty();
    }
    LearnedState used = age.compareTo(FRESH_AGE) > 0 ? state.slowlyChanging() : state;
    return used.isEmpty() ? Optional.empty() : Optional.of(used);
  }

  /**
   * Adds a snapshot or a part of one; returns false if it is not kept, because it is too old, has
   * an implausible version or time, or is older than the one that is kept of its coordinator.
   */
  public boolean offer(LearnedStateCandidate offered, Instant now) {
    candidates.values().removeIf(each -> each.age(now).compareTo(MAX_AGE) > 0);
    Instant latest = now.plus(MAX_CLOCK_LEAD);
    boolean plausible =
        !offered.learnedAt().isAfter(latest)
            && offered.state().version() <= latest.toEpochMilli()
            && offered.age(now).compareTo(MAX_AGE) <= 0;
    if (!plausible) {
      return false;
    }
    // The clock of the instance that wrote the time may be ahead.
    Instant learnedAt = offered.learnedAt().isAfter(now) ? now : offered.learnedAt();
    return add(new LearnedStateCandidate(offered.coordinator(), offered.state(), learnedAt));
  }

  private boolean add(LearnedStateCandidate offered) {
    LearnedStateCandidate held = candidates.get(offered.coordinator());
    if (held != null && offered.state().version() < held.state().version()) {
      return false;
    }
    candidates.put(offered.coordinator(), held == null ? offered : merged(held, offered));
    if (candidates.size() > MAX_COORDINATORS) {
      candidates.values().stream()
          .min(BY_TIME)
          .ifPresent(oldest -> candidates.remove(oldest.coordinator()));
    }
    return true;
  }

  /**
   * Returns the snapshot to restore.
   *
   * @param rank rank of an instance as a coordinator of the service, from 0
   */
  public Optional<LearnedStateCandidate> newest(ToIntFunction<String> rank, Instant now) {
    Instant oldest = now.minus(MAX_AGE);
    Optional<Instant> last =
        candidates.values().stream().max(BY_TIME).map(LearnedStateCandidate::learnedAt);
    return last.flatMap(
        time ->
            candidates.values().stream()
                .filter(each -> !each.learnedAt().isBefore(oldest))
                .filter(each -> !each.learnedAt().isBefore(time.minus(CONCURRENT)))
                .min(
                    Comparator.<LearnedStateCandidate>comparingInt(
                            each -> rank.applyAsInt(each.coordinator()))
                        .thenComparing(BY_TIME.reversed())));
  }

  private static LearnedStateCandidate merged(
      LearnedStateCandidate held, LearnedStateCandidate offered) {
    boolean repeated = offered.state().version() == held.state().version();
    // A repeated datagram that was delayed makes the figures appear later than they were learned.
    Instant learnedAt =
        repeated && held.learnedAt().isBefore(offered.learnedAt())
            ? held.learnedAt()
            : offered.learnedAt();
    return new LearnedStateCandidate(
        offered.coordinator(), held.state().completedBy(offered.state()), learnedAt);
  }
}
