package io.hawthornlb.gateway.front;

import io.hawthornlb.gateway.wire.HeaderNames;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import java.util.List;
import java.util.Map;

/** Selects the headers that the gateway forwards between caller and endpoint. */
final class ForwardedHeaders {

  /** Hop-by-hop headers, which apply to a single connection and are not forwarded. */
  private static final List<CharSequence> HOP_BY_HOP =
      List.of(
          HttpHeaderNames.CONNECTION,
          "Keep-Alive",
          "Proxy-Connection",
          HttpHeaderNames.PROXY_AUTHENTICATE,
          HttpHeaderNames.PROXY_AUTHORIZATION,
          HttpHeaderNames.TE,
          HttpHeaderNames.TRAILER,
          HttpHeaderNames.TRANSFER_ENCODING,
          HttpHeaderNames.UPGRADE,
          HttpHeaderNames.EXPECT);

  private ForwardedHeaders() {}

  /** Returns the headers of a request to an endpoint. The gateway sets the removed ones itself. */
  static HttpHeaders toEndpoint(HttpHeaders from, HeaderNames names) {
    HttpHeaders headers = withoutHopByHop(from);
    headers.remove(HttpHeaderNames.CONTENT_LENGTH);
    headers.remove(names.remainingMillis());
    headers.remove(names.expectedEndpoint());
    headers.remove(names.apiKey());
    headers.remove(names.workspace());
    return headers;
  }

  /** Returns the headers of a response to a caller. */
  static HttpHeaders toCaller(HttpHeaders from) {
    return withoutHopByHop(from);
  }

  private static HttpHeaders withoutHopByHop(HttpHeaders from) {
    HttpHeaders headers = new DefaultHttpHeaders();
    for (Map.Entry<String, String> header : from) {
      headers.add(header.getKey(), header.getValue());
    }
    for (String connectionOption : from.getAllAsString(HttpHeaderNames.CONNECTION)) {
      for (String named : connectionOption.split(",")) {
        if (!named.isBlank()) {
          headers.remove(named.trim());
        }
      }
    }
    HOP_BY_HOP.forEach(headers::remove);
    return headers;
  }
}
