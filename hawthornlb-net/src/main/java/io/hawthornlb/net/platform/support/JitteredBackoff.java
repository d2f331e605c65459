package io.hawthornlb.net.platform.support;

import java.time.Duration;
import java.util.random.RandomGenerator;

/**
 * Exponential backoff with jitter: a random delay between half of the doubled wait and all of it.
 */
final class JitteredBackoff {

  private static final int MAX_DOUBLINGS = 20;

  private final Duration first;
  private final Duration longest;
  private final RandomGenerator random;

  JitteredBackoff(Duration first, Duration longest, RandomGenerator random) {
    this.first = first;
    this.longest = longest;
    this.random = random;
  }

  /** Returns the delay after a number of failures in a row, counted from 1. */
  Duration delay(int failures) {
    long doubled = first.toMillis() << Math.min(failures - 1, MAX_DOUBLINGS);
    long whole = Math.min(doubled, longest.toMillis());
    return Duration.ofMillis(whole / 2 + random.nextLong(whole / 2 + 1));
  }
}
