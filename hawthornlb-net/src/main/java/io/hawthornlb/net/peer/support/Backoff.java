package io.hawthornlb.net.peer.support;

import java.time.Duration;
import java.util.random.RandomGenerator;

/**
 * Exponential backoff with jitter between attempts to connect.
 *
 * <p>Without jitter, all peers of an instance that becomes available again would connect to it at
 * the same moment.
 */
final class Backoff {

  private static final int MAX_DOUBLINGS = 16;

  private final Duration min;
  private final Duration max;
  private final RandomGenerator random;
  private int failures;

  Backoff(Duration min, Duration max, RandomGenerator random) {
    this.min = min;
    this.max = max;
    this.random = random;
  }

  /**
   * Returns the delay after another failure, a random time between half of the doubled delay and
   * all of it.
   */
  Duration next() {
    long doubled = min.toMillis() << Math.min(failures, MAX_DOUBLINGS);
    failures++;
    long whole = Math.min(doubled, max.toMillis());
    return Duration.ofMillis(Math.max(1, whole / 2 + random.nextLong(whole / 2 + 1)));
  }

  /** Resets the delay to the shortest one. */
  void reset() {
    failures = 0;
  }
}
