package io.hawthornlb.net.platform.support;

import io.hawthornlb.core.util.Checks;
import java.time.Duration;

/**
 * Bounds of a {@link GroupingLogWriter}.
 *
 * @param streamRecords records that may wait for one stream
 * @param groupRecords records in one append call
 * @param groupBytes bytes of the records in one append call, but for a single larger record
 * @param firstBackoff the wait after the first failure, doubled after each further one
 * @param longestBackoff the longest wait between two calls
 * @param giveUpAfter how long a record is sent before the writer gives it up
 */
public record WriterSettings(
    int streamRecords,
    int groupRecords,
    int groupBytes,
    Duration firstBackoff,
    Duration longestBackoff,
    Duration giveUpAfter) {

  /** 2,000 records a stream, 500 records or 512 KiB a call, 0.1 to 5 s backoff, 10 minutes. */
  public static final WriterSettings DEFAULT =
      new WriterSettings(
          2_000,
          500,
          512 << 10,
          Duration.ofMillis(100),
          Duration.ofSeconds(5),
          Duration.ofMinutes(10));

  /** Checks that every bound is positive. */
  public WriterSettings {
    Checks.isTrue(streamRecords > 0, "stream records must be positive");
    Checks.isTrue(groupRecords > 0, "group records must be positive");
    Checks.isTrue(groupBytes > 0, "group bytes must be positive");
    Checks.isTrue(firstBackoff.toMillis() > 0, "first backoff must be at least 1 ms");
    Checks.isTrue(
        longestBackoff.compareTo(firstBackoff) >= 0, "longest backoff must not be the shorter");
    Checks.isTrue(giveUpAfter.toMillis() > 0, "give up after must be at least 1 ms");
  }
}
