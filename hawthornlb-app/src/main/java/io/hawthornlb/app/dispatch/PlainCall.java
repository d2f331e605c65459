package io.hawthornlb.app.dispatch;

import io.hawthornlb.core.catalogue.ServiceEntry;
import io.hawthornlb.core.catalogue.WorkspaceEntry;
import io.hawthornlb.core.model.HeaderField;
import java.util.List;
import java.util.Optional;

/**
 * One call to a plain service.
 *
 * @param workspace the workspace of the caller
 * @param service the service to call
 * @param method the HTTP method
 * @param uri the path and query, relative to the service
 * @param headers the end-to-end header fields of the caller's request
 * @param idempotencyKey the caller's key for a call that must not run twice
 * @param body the request body; empty if there is none
 */
public record PlainCall(
    WorkspaceEntry workspace,
    ServiceEntry service,
    String method,
    String uri,
    List<HeaderField> headers,
    Optional<String> idempotencyKey,
    byte[] body) {

  /** Copies the headers. */
  public PlainCall {
    headers = List.copyOf(headers);
  }
}
