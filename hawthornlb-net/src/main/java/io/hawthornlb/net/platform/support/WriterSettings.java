package io.hawthornlb.net.platform.support;

import io.hawthornlb.core.util.Checks;
import java.time.Duration;

/**
 * Limits and retry intervals of a {@link GroupingLogWriter}.
 *
 * @param streamRecords the most records that wait for one stream
 * @param groupRecords the most records in one append call
 * @param groupBytes the most bytes of records in one append call; a single larger record is sent
 *     alone
 * @param firstBackoff the wait after the first failure; each further failure in a row doubles the
 *     wait
 * @param longestBackoff the longest wait between two append calls
 * @param giveUpAfter how long the writer resends a record before giving up
 */
public record WriterSettings(
    int streamRecords,
    int groupRecords,
    int groupBytes,
    Duration firstBackoff,
    Duration longestBackoff,
    Duration giveUpAfter) {

  /**
   * 2,000 records a stream, 500 records or 512 KiB a call, 0.1 to 5 s backoff, give up in 10 min.
   */
  public static final WriterSettings DEFAULT =
      new WriterSettings(
          2_000,
          500,
          512 << 10,
          Duration.ofMillis(100),
          Duration.ofSeconds(5),
          Duration.ofMinutes(10));

  /** Checks that the limits are positive and the backoff bounds in order. */
  public WriterSettings {
    Checks.isTrue(streamRecords > 0, "stream records must be positive");
    Checks.isTrue(groupRecords > 0, "group records must be positive");
    Checks.isTrue(groupBytes > 0, "group bytes must be positive");
    Checks.isTrue(firstBackoff.toMillis() > 0, "first backoff must be at least 1 ms");
    Checks.isTrue(
        longestBackoff.compareTo(firstBackoff) >= 0,
        "longest backoff must not be shorter than first backoff");
    Checks.isTrue(giveUpAfter.toMillis() > 0, "give up after must be at least 1 ms");
  }
}
