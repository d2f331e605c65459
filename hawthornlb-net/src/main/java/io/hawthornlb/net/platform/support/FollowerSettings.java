package io.hawthornlb.net.platform.support;

import io.hawthornlb.core.util.Checks;
import java.time.Duration;

/**
 * How a {@link StreamFollower} reads.
 *
 * @param pageRecords records asked for in one read
 * @param longPoll how long a read waits for the first new record
 * @param gather how long it lets records gather once it has read all
 * @param firstBackoff the wait after the first failure, doubled after each further one
 * @param longestBackoff the longest wait between two reads
 */
public record FollowerSettings(
    int pageRecords,
    Duration longPoll,
    Duration gather,
    Duration firstBackoff,
    Duration longestBackoff) {

  /** Pages of 500, a wait of one second, 20 ms to gather, 0.1 to 2 s backoff. */
  public static final FollowerSettings DEFAULT =
      new FollowerSettings(
          500,
          Duration.ofSeconds(1),
          Duration.ofMillis(20),
          Duration.ofMillis(100),
          Duration.ofSeconds(2));

  /** Returns these settings with another time to gather. */
  public FollowerSettings gather(Duration value) {
    return new FollowerSettings(pageRecords, longPoll, value, firstBackoff, longestBackoff);
  }

  /** Checks that the bounds are positive. */
  public FollowerSettings {
    Checks.isTrue(pageRecords > 0, "page records must be positive");
    Checks.isTrue(!longPoll.isNegative(), "long poll must not be negative");
    Checks.isTrue(!gather.isNegative(), "gather must not be negative");
    Checks.isTrue(firstBackoff.toMillis() > 0, "first backoff must be at least 1 ms");
    Checks.isTrue(
        longestBackoff.compareTo(firstBackoff) >= 0, "longest backoff must not be the shorter");
  }
}
