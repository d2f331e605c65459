package io.hawthornlb.core.log.support;

import io.hawthornlb.core.log.LogRecord;
import java.time.Instant;

/** Age of the last complete snapshot of a stream, in time and in number of records. */
public final class SnapshotAge {

  private Instant lastRecordAt = Instant.EPOCH;
  private Instant firstRecordAt = Instant.MAX;
  private Instant lastSnapshotAt = Instant.MAX;
  private long lastUpTo = -1;
  private long recordsSince;

  SnapshotAge() {}

  /** Returns when the last record was appended, by the platform's clock. */
  public Instant lastRecordAt() {
    return lastRecordAt;
  }

  /**
   * Returns since when no snapshot has covered new records: the time of the last snapshot, or of
   * the first record if there is no snapshot; {@link Instant#MAX} if there are no records.
   */
  public Instant unsavedSince() {
    return lastSnapshotAt.equals(Instant.MAX) ? firstRecordAt : lastSnapshotAt;
  }

  /** Returns the number of records since the last snapshot. */
  public long recordsSince() {
    return recordsSince;
  }

  void noteRecord(Instant appendedAt) {
    if (firstRecordAt.equals(Instant.MAX)) {
      firstRecordAt = appendedAt;
    }
    lastRecordAt = appendedAt;
    recordsSince++;
  }

  /**
   * Processes the last part of a snapshot. A snapshot that covers less than an earlier one is
   * ignored.
   */
  void noteSnapshot(LogRecord lastPart, long upTo) {
    if (upTo <= lastUpTo) {
      return;
    }
    lastUpTo = upTo;
    lastSnapshotAt = lastPart.appendedAt();
    recordsSince = lastPart.offset() - upTo;
  }
}
