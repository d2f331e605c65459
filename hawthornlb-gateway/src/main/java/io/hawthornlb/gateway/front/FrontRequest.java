package io.hawthornlb.gateway.front;

import io.hawthornlb.core.workspace.Workspace;
import io.hawthornlb.gateway.wire.HeaderNames;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpRequest;
import java.time.Instant;
import org.jspecify.annotations.Nullable;

/**
 * A complete request of a caller, as received.
 *
 * @param method method
 * @param uri path and query, unchanged
 * @param path path without the query
 * @param host value of the Host header
 * @param headers headers
 * @param body body; empty if there is none
 * @param arrived when its last byte was read
 * @param workspace workspace that holds the caller's key; null if the request was not authenticated
 */
public record FrontRequest(
    HttpMethod method,
    String uri,
    String path,
    String host,
    HttpHeaders headers,
    byte[] body,
    Instant arrived,
    @Nullable Workspace workspace) {

  /** Creates a request that was not authenticated. */
  public FrontRequest(
      HttpMethod method,
      String uri,
      String path,
      String host,
      HttpHeaders headers,
      byte[] body,
      Instant arrived) {
    this(method, uri, path, host, headers, body, arrived, null);
  }

  /** Returns the request with the given head and body. */
  static FrontRequest of(HttpRequest head, byte[] body, Instant arrived) {
    String uri = head.uri();
    int query = uri.indexOf('?');
    return new FrontRequest(
        head.method(),
        uri,
        query < 0 ? uri : uri.substring(0, query),
        head.headers().get(HttpHeaderNames.HOST, ""),
        head.headers(),
        body,
        arrived);
  }

  /** Returns this request for a workspace, with its headers as received. */
  FrontRequest withWorkspace(@Nullable Workspace holder) {
    return new FrontRequest(method, uri, path, host, headers, body, arrived, holder);
  }

  /** Returns a request of the same caller with another method and path, and without a body. */
  public FrontRequest withCall(HttpMethod otherMethod, String otherPath, String otherUri) {
    HttpHeaders withoutBody = new DefaultHttpHeaders().add(headers);
    withoutBody.remove(HttpHeaderNames.CONTENT_LENGTH);
    withoutBody.remove(HttpHeaderNames.CONTENT_TYPE);
    withoutBody.remove(HttpHeaderNames.TRANSFER_ENCODING);
    return new FrontRequest(
        otherMethod, otherUri, otherPath, host, withoutBody, new byte[0], arrived, workspace);
  }

  /**
   * Returns this request for a workspace, without the caller's key and without any workspace that
   * the caller named.
   *
   * @param holder workspace that holds the key; null for an anonymous request
   */
  public FrontRequest authenticated(@Nullable Workspace holder, HeaderNames names) {
    HttpHeaders authenticated = new DefaultHttpHeaders().add(headers);
    authenticated.remove(names.apiKey());
    authenticated.remove(names.workspace());
    if (holder != null) {
      authenticated.set(names.workspace(), holder.id().value());
    }
    return new FrontRequest(method, uri, path, host, authenticated, body, arrived, holder);
  }
}
