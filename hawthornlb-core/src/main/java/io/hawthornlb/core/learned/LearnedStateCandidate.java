package io.hawthornlb.core.learned;

import java.time.Duration;
import java.time.Instant;

/**
 * A snapshot that a coordinator may restore.
 *
 * @param coordinator name of the instance that learned the figures
 * @param learnedAt when they were learned, by the clock of the receiving instance
 */
public record LearnedStateCandidate(String coordinator, LearnedState state, Instant learnedAt) {

  /** Returns the time since the figures were learned; zero if the clock has gone back. */
  public Duration age(Instant now) {
    Duration age = Duration.between(learnedAt, now);
    return age.isNegative() ? Duration.ZERO : age;
  }
}
