package io.hawthornlb.core.log.support;

import io.hawthornlb.core.log.LogRecord;
import java.time.Instant;

/** How far a stream has gone on since its last whole snapshot. */
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

  /** Returns since when state is held by records alone; {@link Instant#MAX} without records. */
  public Instant unsavedSince() {
    return lastSnapshotAt.equals(Instant.MAX) ? firstRecordAt : lastSnapshotAt;
  }

  /** Returns how many records have followed the last snapshot. */
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

  /** Notes the last part of a snapshot; one that is older than the last does not count. */
  void noteSnapshot(LogRecord lastPart, long upTo) {
    if (upTo <= lastUpTo) {
      return;
    }
    lastUpTo = upTo;
    lastSnapshotAt = lastPart.appendedAt();
    recordsSince = lastPart.offset() - upTo;
  }
}
