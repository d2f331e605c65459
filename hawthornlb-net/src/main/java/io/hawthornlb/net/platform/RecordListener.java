package io.hawthornlb.net.platform;

import io.hawthornlb.core.log.LogRecord;
import io.hawthornlb.core.log.StreamName;

/** Is notified of each record after the fold has applied it, on the thread of the fold. */
public interface RecordListener {

  /** Called for a record read from a stream. The record may be void or a duplicate. */
  void recordRead(StreamName stream, LogRecord entry);
}
