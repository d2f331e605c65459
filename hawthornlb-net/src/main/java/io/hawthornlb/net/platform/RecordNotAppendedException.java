package io.hawthornlb.net.platform;

import io.hawthornlb.core.log.RecordId;
import org.jspecify.annotations.Nullable;

/** Thrown when a record is no longer sent; {@link #mayBeInStream()} tells what that means. */
public class RecordNotAppendedException extends RuntimeException {

  private static final long serialVersionUID = 1L;

  private final boolean mayBeInStream;

  /** Creates the exception for a record. */
  public RecordNotAppendedException(
      RecordId id, String reason, boolean mayBeInStream, @Nullable Throwable cause) {
    super("record " + id.writer() + "/" + id.sequence() + " not appended: " + reason, cause);
    this.mayBeInStream = mayBeInStream;
  }

  /** Returns whether the record may stand in the stream or still come to stand there. */
  public boolean mayBeInStream() {
    return mayBeInStream;
  }
}
