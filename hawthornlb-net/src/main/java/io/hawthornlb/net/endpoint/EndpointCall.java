package io.hawthornlb.net.endpoint;

import io.hawthornlb.core.model.HeaderField;
import io.hawthornlb.core.util.Checks;
import java.util.List;
import java.util.Optional;

/**
 * A call to an endpoint.
 *
 * @param address host and port of the endpoint
 * @param method the HTTP method
 * @param uri path and query, beginning with a slash
 * @param headers the header fields to send
 * @param body the body; empty for none
 * @param kind the kind of traffic, which decides the connection pool
 */
public record EndpointCall(
    String address,
    String method,
    String uri,
    List<HeaderField> headers,
    byte[] body,
    TrafficKind kind) {

  /** The header with the id of a request to an engine. */
  public static final String REQUEST_ID_HEADER = "X-Request-Id";

  private static final byte[] NO_BODY = new byte[0];

  /** Checks the address and the path, and copies the headers. */
  public EndpointCall {
    Checks.hasText(address, "address");
    Checks.isTrue(uri.startsWith("/"), "uri must begin with a slash, was " + uri);
    headers = List.copyOf(headers);
  }

  /** Returns the id of the request that the call carries. */
  public Optional<String> requestId() {
    return headers.stream()
        .filter(field -> field.name().equalsIgnoreCase(REQUEST_ID_HEADER))
        .map(HeaderField::value)
        .findFirst();
  }

  /** Returns a call without headers and body. */
  public static EndpointCall bare(String address, String method, String uri, TrafficKind kind) {
    return new EndpointCall(address, method, uri, List.of(), NO_BODY, kind);
  }
}
