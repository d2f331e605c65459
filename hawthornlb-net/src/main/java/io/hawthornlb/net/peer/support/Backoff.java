package io.hawthornlb.net.peer.support;

import java.time.Duration;
import java.util.random.RandomGenerator;

/**
 * Times between tries to connect, doubled after each failure and jittered.
 *
 * <p>Without jitter all peers of an instance that comes back would connect at the same moment.
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

  /** Returns the time to wait after one more failure: half to the whole of the doubled time. */
  Duration next() {
    long doubled = min.toMillis() << Math.min(failures, MAX_DOUBLINGS);
    failures++;
    long whole = Math.min(doubled, max.toMillis());
    return Duration.ofMillis(Math.max(1, whole / 2 + random.nextLong(whole / 2 + 1)));
  }

  /** Starts again from the shortest time. */
  void reset() {
    failures = 0;
  }
}
