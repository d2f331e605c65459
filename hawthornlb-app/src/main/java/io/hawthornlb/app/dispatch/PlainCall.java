package io.hawthornlb.app.dispatch;

import io.hawthornlb.core.catalogue.ServiceEntry;
import io.hawthornlb.core.catalogue.WorkspaceEntry;
import io.hawthornlb.core.model.HeaderField;
import java.util.List;
import java.util.Optional;

/**
 * One call to a plain service.
 *
 * @param workspace who asks
 * @param service the service
 * @param method the HTTP method
 * @param uri path and query below the service
 * @param headers end-to-end header fields of the caller
 * @param idempotencyKey the caller's name for a call that must not run twice
 * @param body the body; empty for none
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
