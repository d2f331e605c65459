package io.hawthornlb.net.platform;

import io.hawthornlb.core.log.LogRecord;
import io.hawthornlb.core.log.StreamName;

/** Hears of each record after its fold has taken it, on the thread of the fold. */
public interface RecordListener {

  /** Tells of a record that was read from a stream; it may be void or a duplicate. */
  void recordRead(StreamName stream, LogRecord entry);
}
