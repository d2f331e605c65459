package io.hawthornlb.gateway.front;

import io.hawthornlb.gateway.wire.HeaderNames;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import java.util.List;
import java.util.Map;

/** Copies the headers that go on to the other side. */
final class ForwardedHeaders {

  /** Headers that concern one connection only. */
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

  /** Returns the headers of a request for an endpoint. */
  static HttpHeaders toEndpoint(HttpHeaders from, HeaderNames names) {
    HttpHeaders headers = withoutHopByHop(from);
    headers.remove(HttpHeaderNames.CONTENT_LENGTH);
    headers.remove(names.remainingMillis());
    headers.remove(names.expectedEndpoint());
    return headers;
  }

  /** Returns the headers of an answer for a caller. */
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
