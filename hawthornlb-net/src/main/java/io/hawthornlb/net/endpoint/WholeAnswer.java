package io.hawthornlb.net.endpoint;

import io.hawthornlb.core.model.HeaderField;
import java.util.List;

/**
 * An answer that arrived whole.
 *
 * @param status the HTTP status
 * @param headers its end-to-end header fields
 * @param body its body
 */
public record WholeAnswer(int status, List<HeaderField> headers, byte[] body) {

  private static final int FIRST_ERROR_STATUS = 400;

  /** Copies the headers. */
  public WholeAnswer {
    headers = List.copyOf(headers);
  }

  /** Returns whether the status tells of success. */
  public boolean successful() {
    return status < FIRST_ERROR_STATUS;
  }
}
