package io.hawthornlb.core.runonce;

import io.hawthornlb.core.model.HeaderField;
import java.util.List;

/**
 * HTTP response of the endpoint.
 *
 * @param status the HTTP status
 * @param headers the header fields that are passed on
 * @param body the body
 */
public record ServiceResult(int status, List<HeaderField> headers, String body) {

  /** Copies the headers. */
  public ServiceResult {
    headers = List.copyOf(headers);
  }
}
