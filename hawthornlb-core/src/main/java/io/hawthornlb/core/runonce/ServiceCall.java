package io.hawthornlb.core.runonce;

import io.hawthornlb.core.model.HeaderField;
import io.hawthornlb.core.util.Checks;
import java.util.List;

/**
 * HTTP call that is sent to the endpoint.
 *
 * @param method the HTTP method
 * @param path the path with the query
 * @param headers the header fields that are passed on
 * @param body the body
 */
public record ServiceCall(String method, String path, List<HeaderField> headers, String body) {

  /** Checks method and path and copies the headers. */
  public ServiceCall {
    Checks.hasText(method, "method");
    Checks.hasText(path, "path");
    headers = List.copyOf(headers);
  }
}
