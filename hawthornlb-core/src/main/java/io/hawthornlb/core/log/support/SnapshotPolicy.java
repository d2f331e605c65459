package io.hawthornlb.core.log.support;

import io.hawthornlb.core.util.Checks;
import java.time.Duration;
import java.time.Instant;

/**
 * Decides when a new snapshot of a stream is due.
 *
 * <p>One instance is the preferred writer of the snapshot. The other instances wait for twice as
 * long, and write a snapshot only if the preferred writer did not. Two snapshots do no harm.
 *
 * @param maxAge the age of the last snapshot at which the next snapshot is due; must be at most
 *     half of the log retention
 * @param maxRecords the number of records after the last snapshot at which the next snapshot is due
 */
public record SnapshotPolicy(Duration maxAge, long maxRecords) {

  private static final int DELAY_FACTOR_OF_OTHERS = 2;

  /**
   * Policy for a log that keeps records for at least an hour: a snapshot is due after 15 minutes or
   * 20,000 records.
   */
  public static final SnapshotPolicy DEFAULT = new SnapshotPolicy(Duration.ofMinutes(15), 20_000);

  /** Checks that both bounds are positive. */
  public SnapshotPolicy {
    Checks.isTrue(maxAge.toMillis() > 0, "max age must be at least 1 ms");
    Checks.isTrue(maxRecords > 0, "max records must be positive");
  }

  /**
   * Returns the policy for a log that keeps records for a given time: a snapshot is due after a
   * quarter of that time.
   */
  public static SnapshotPolicy forRetention(Duration retention) {
    return new SnapshotPolicy(retention.dividedBy(4), DEFAULT.maxRecords());
  }

  /**
   * Returns whether a snapshot is due.
   *
   * @param age the age of the last snapshot
   * @param now the current time
   * @param preferredWriter whether this instance is the preferred writer of snapshots
   */
  public boolean due(SnapshotAge age, Instant now, boolean preferredWriter) {
    int delayFactor = preferredWriter ? 1 : DELAY_FACTOR_OF_OTHERS;
    Instant latest = now.minus(maxAge.multipliedBy(delayFactor));
    return age.recordsSince() >= maxRecords * delayFactor || age.unsavedSince().isBefore(latest);
  }
}
