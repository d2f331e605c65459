package io.hawthornlb.core.retry;

import java.time.Duration;

/**
 * Limits for retries.
 *
 * @param attempts the maximum number of attempts for a request, including the first
 * @param ratio the number of retries that each first attempt adds to the budget
 * @param minPerSecond the number of retries for each second that an entry instance may make
 *     regardless of its first attempts
 * @param burst the maximum number of retries in the budget
 * @param initialBackoff the maximum delay before the second attempt, doubled for each further
 *     attempt
 * @param maxBackoff the maximum delay before any attempt
 * @param minServiceTime the minimum time that an attempt needs; a retry that could not have this
 *     time before the deadline is not made
 */
public record RetrySettings(
    int attempts,
    double ratio,
    double minPerSecond,
    double burst,
    Duration initialBackoff,
    Duration maxBackoff,
    Duration minServiceTime) {

  /** The default values. */
  public static final RetrySettings DEFAULT =
      new RetrySettings(
          3, 0.1, 0.2, 10, Duration.ofMillis(50), Duration.ofSeconds(1), Duration.ofMillis(50));
}
