package io.hawthornlb.net.platform;

import io.hawthornlb.core.log.RecordId;
import org.jspecify.annotations.Nullable;

/**
 * Thrown when the writer rejected a record, or gave up resending one.
 *
 * <p>{@link #mayBeInStream()} tells whether the record may have been appended all the same.
 */
public class RecordNotAppendedException extends RuntimeException {

  private static final long serialVersionUID = 1L;

  private final boolean mayBeInStream;

  /** Creates the exception for a record, with the reason and the last failure, if any. */
  public RecordNotAppendedException(
      RecordId id, String reason, boolean mayBeInStream, @Nullable Throwable cause) {
    super("record " + id.writer() + "/" + id.sequence() + " not appended: " + reason, cause);
    this.mayBeInStream = mayBeInStream;
  }

  /** Returns whether the stream may already contain the record, or may still receive it. */
  public boolean mayBeInStream() {
    return mayBeInStream;
  }
}
