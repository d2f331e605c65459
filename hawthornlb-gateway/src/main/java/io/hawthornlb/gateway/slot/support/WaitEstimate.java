package io.hawthornlb.gateway.slot.support;

import java.time.Duration;
import java.time.Instant;

/** Tells how long a request is likely to wait, from how long uses have lasted lately. */
final class WaitEstimate {

  /** Weight of the newest use; about the last ten count. */
  private static final double SMOOTHING = 0.1;

  /** Assumed before the first use has ended; a short answer of 250 tokens. */
  private static final double FIRST_USE_MILLIS = 500;

  /** Least time to tell a caller; less would bring it back before a slot can be free. */
  private static final Duration MIN_RETRY = Duration.ofMillis(100);

  private double useMillis = FIRST_USE_MILLIS;

  void ended(Instant since, Instant now) {
    double lasted = Duration.between(since, now).toMillis();
    useMillis += SMOOTHING * (lasted - useMillis);
  }

  /** Returns the time until a slot is free for one that has {@code ahead} others before it. */
  Duration of(int ahead, int slots) {
    if (slots == 0) {
      return Duration.ofMillis((long) useMillis);
    }
    return Duration.ofMillis((long) (useMillis * (ahead + 1) / slots));
  }

  /** Returns when a caller that is refused should come back: once those who wait are served. */
  Duration retryAfter(int ahead, int slots) {
    Duration wait = of(ahead, slots);
    return wait.compareTo(MIN_RETRY) < 0 ? MIN_RETRY : wait;
  }
}
