package io.hawthornlb.net.platform.support;

import io.hawthornlb.core.util.Checks;
import java.time.Duration;

/**
 * Page size, waits and retry intervals of a {@link StreamFollower}.
 *
 * @param pageRecords the most records returned by one read
 * @param longPoll how long a read waits for the first new record
 * @param gather the pause before the next read after all records were read, so that records
 *     accumulate
 * @param firstBackoff the wait after the first failure; each further failure in a row doubles the
 *     wait
 * @param longestBackoff the longest wait between two reads
 */
public record FollowerSettings(
    int pageRecords,
    Duration longPoll,
    Duration gather,
    Duration firstBackoff,
    Duration longestBackoff) {

  /** Pages of 500 records, a long poll of 1 s, a pause of 20 ms, 0.1 to 2 s backoff. */
  public static final FollowerSettings DEFAULT =
      new FollowerSettings(
          500,
          Duration.ofSeconds(1),
          Duration.ofMillis(20),
          Duration.ofMillis(100),
          Duration.ofSeconds(2));

  /** Returns these settings with another pause in which records accumulate. */
  public FollowerSettings gather(Duration value) {
    return new FollowerSettings(pageRecords, longPoll, value, firstBackoff, longestBackoff);
  }

  /** Checks the page size, the waits and the order of the backoff bounds. */
  public FollowerSettings {
    Checks.isTrue(pageRecords > 0, "page records must be positive");
    Checks.isTrue(!longPoll.isNegative(), "long poll must not be negative");
    Checks.isTrue(!gather.isNegative(), "gather must not be negative");
    Checks.isTrue(firstBackoff.toMillis() > 0, "first backoff must be at least 1 ms");
    Checks.isTrue(
        longestBackoff.compareTo(firstBackoff) >= 0,
        "longest backoff must not be shorter than first backoff");
  }
}
