package io.hawthornlb.core.runonce;

import io.hawthornlb.core.model.HeaderField;
import java.util.List;

/**
 * The answer of the endpoint.
 *
 * @param status the HTTP status
 * @param headers header fields that are passed on
 * @param body the body
 */
public record ServiceResult(int status, List<HeaderField> headers, String body) {

  /** Copies the headers. */
  public ServiceResult {
    headers = List.copyOf(headers);
  }
}
