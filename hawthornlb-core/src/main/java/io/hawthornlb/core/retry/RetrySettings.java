package io.hawthornlb.core.retry;

import java.time.Duration;

/**
 * Bounds of retries.
 *
 * @param attempts attempts in all
 * @param ratio retries for each first attempt
 * @param leastPerSecond retries a second that are always allowed to one entry
 * @param burst retries that may be saved up
 * @param firstBackoff longest wait before the second attempt; doubles with each
 * @param longestBackoff longest wait before any attempt
 * @param leastService time that an attempt needs at least
 */
public record RetrySettings(
    int attempts,
    double ratio,
    double leastPerSecond,
    double burst,
    Duration firstBackoff,
    Duration longestBackoff,
    Duration leastService) {

  /** The values in use unless the settings of an instance say otherwise. */
  public static final RetrySettings DEFAULT =
      new RetrySettings(
          3, 0.1, 0.2, 10, Duration.ofMillis(50), Duration.ofSeconds(1), Duration.ofMillis(50));
}
