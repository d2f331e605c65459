package io.hawthornlb.net.endpoint;

import io.hawthornlb.core.model.HeaderField;
import java.util.List;

/**
 * A complete response of an endpoint.
 *
 * @param status the HTTP status
 * @param headers the end-to-end header fields
 * @param body the body
 */
public record EndpointResponse(int status, List<HeaderField> headers, byte[] body) {

  private static final int FIRST_ERROR_STATUS = 400;

  /** Copies the headers. */
  public EndpointResponse {
    headers = List.copyOf(headers);
  }

  /** Returns whether the status is below 400. */
  public boolean successful() {
    return status < FIRST_ERROR_STATUS;
  }
}
