package io.hawthornlb.net.endpoint;

import io.hawthornlb.core.model.HeaderField;
import io.hawthornlb.core.util.Checks;
import java.util.List;

/**
 * One call to an endpoint.
 *
 * @param address host and port of the endpoint
 * @param method the HTTP method
 * @param uri path and query, beginning with a slash
 * @param headers header fields to send
 * @param body the body; empty for none
 * @param kind which connections carry it
 */
public record EndpointCall(
    String address,
    String method,
    String uri,
    List<HeaderField> headers,
    byte[] body,
    TrafficKind kind) {

  /** The header that names a request to an engine. */
  public static final String REQUEST_ID_HEADER = "X-Request-Id";

  private static final byte[] NO_BODY = new byte[0];

  /** Checks address and path and copies the headers. */
  public EndpointCall {
    Checks.hasText(address, "address");
    Checks.isTrue(uri.startsWith("/"), "uri must begin with a slash, was " + uri);
    headers = List.copyOf(headers);
  }

  /** Returns a call without body and headers. */
  public static EndpointCall bare(String address, String method, String uri, TrafficKind kind) {
    return new EndpointCall(address, method, uri, List.of(), NO_BODY, kind);
  }
}
