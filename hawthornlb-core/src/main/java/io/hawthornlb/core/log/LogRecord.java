package io.hawthornlb.core.log;

import io.hawthornlb.core.util.Checks;
import java.time.Instant;

/**
 * One record of a stream, as the platform log stores it.
 *
 * @param offset the position of the record in the stream
 * @param appendedAt when the platform stored the record, by the platform's clock
 * @param id identifies the record across resends
 * @param body the content of the record
 */
public record LogRecord(long offset, Instant appendedAt, RecordId id, RecordBody body) {

  /** Checks the offset. */
  public LogRecord {
    Checks.notNegative(offset, "offset");
  }
}
