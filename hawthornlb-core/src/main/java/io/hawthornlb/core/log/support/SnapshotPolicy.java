package io.hawthornlb.core.log.support;

import io.hawthornlb.core.util.Checks;
import java.time.Duration;
import java.time.Instant;

/**
 * Says when the state of a stream must be written again.
 *
 * <p>One instance is the first to write; the others wait for longer and write only when it did not.
 * Two snapshots do no harm.
 *
 * @param maxAge the age of the last snapshot at which the next is due; at most half of the
 *     retention
 * @param maxRecords the number of records after the last snapshot at which the next is due
 */
public record SnapshotPolicy(Duration maxAge, long maxRecords) {

  private static final int PATIENCE_OF_OTHERS = 2;

  /** For a log that keeps records for at least an hour: 15 minutes or 20,000 records. */
  public static final SnapshotPolicy DEFAULT = new SnapshotPolicy(Duration.ofMinutes(15), 20_000);

  /** Checks that both bounds are positive. */
  public SnapshotPolicy {
    Checks.isTrue(maxAge.toMillis() > 0, "max age must be at least 1 ms");
    Checks.isTrue(maxRecords > 0, "max records must be positive");
  }

  /** Returns the policy for a log that keeps records for a time: a snapshot in a quarter of it. */
  public static SnapshotPolicy forRetention(Duration retention) {
    return new SnapshotPolicy(retention.dividedBy(4), DEFAULT.maxRecords());
  }

  /**
   * Returns whether to write a snapshot.
   *
   * @param first whether this instance is the first to write
   */
  public boolean due(SnapshotAge age, Instant now, boolean first) {
    int patience = first ? 1 : PATIENCE_OF_OTHERS;
    Instant latest = now.minus(maxAge.multipliedBy(patience));
    return age.recordsSince() >= maxRecords * patience || age.unsavedSince().isBefore(latest);
  }
}
