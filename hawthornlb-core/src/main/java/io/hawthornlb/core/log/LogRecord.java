package io.hawthornlb.core.log;

import io.hawthornlb.core.util.Checks;
import java.time.Instant;

/**
 * One record as it stands in a stream.
 *
 * @param offset its place in the stream
 * @param appendedAt when the platform took it, by the platform's clock
 * @param id identifies the record through resends
 * @param body its content
 */
public record LogRecord(long offset, Instant appendedAt, RecordId id, RecordBody body) {

  /** Checks the offset. */
  public LogRecord {
    Checks.notNegative(offset, "offset");
  }
}
