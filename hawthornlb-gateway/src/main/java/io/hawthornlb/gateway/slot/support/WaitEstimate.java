package io.hawthornlb.gateway.slot.support;

import java.time.Duration;
import java.time.Instant;

/** Estimates how long a request will wait, based on the length of recent uses. */
final class WaitEstimate {

  /** Weight of the latest use; about the last ten count. */
  private static final double SMOOTHING = 0.1;

  /** Length assumed before the first use has ended; that of a short answer of 250 tokens. */
  private static final double FIRST_USE_MILLIS = 500;

  /** Shortest time told to a caller; a caller that returns earlier would find no free slot yet. */
  private static final Duration MIN_RETRY = Duration.ofMillis(100);

  private double useMillis = FIRST_USE_MILLIS;

  void ended(Instant since, Instant now) {
    double lasted = Duration.between(since, now).toMillis();
    useMillis += SMOOTHING * (lasted - useMillis);
  }

  /**
   * Returns the time until a slot is free for a request that has {@code ahead} others before it.
   */
  Duration of(int ahead, int slots) {
    if (slots == 0) {
      return Duration.ofMillis((long) useMillis);
    }
    return Duration.ofMillis((long) (useMillis * (ahead + 1) / slots));
  }

  /**
   * Returns the time after which a refused caller should return; by then the waiting requests are
   * served.
   */
  Duration retryAfter(int ahead, int slots) {
    return retryAfter(of(ahead, slots));
  }

  /** Returns the time after which a caller should return that would have to wait for a time. */
  Duration retryAfter(Duration wait) {
    return wait.compareTo(MIN_RETRY) < 0 ? MIN_RETRY : wait;
  }
}
