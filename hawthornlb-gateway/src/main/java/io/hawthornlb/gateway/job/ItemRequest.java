package io.hawthornlb.gateway.job;

import io.hawthornlb.gateway.wire.HeaderNames;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpVersion;

/** Builds the request by which an endpoint runs an item. */
final class ItemRequest {

  private ItemRequest() {}

  /**
   * Returns the request.
   *
   * @param lastEventId last event of the output that exists; negative if there is none
   */
  static FullHttpRequest of(
      Job job, JobItem item, String endpointId, long lastEventId, HeaderNames names) {
    HttpHeaders headers = new DefaultHttpHeaders();
    item.headers().forEach(headers::set);
    headers.remove(names.apiKey());
    headers.remove(names.workspace());
    job.workspace().ifPresent(owner -> headers.set(names.workspace(), owner.value()));
    headers.set(HttpHeaderNames.HOST, job.host());
    headers.set(names.requestId(), item.id());
    headers.set(names.expectedEndpoint(), endpointId);
    headers.set(HttpHeaderNames.CONTENT_LENGTH, item.body().length);
    if (lastEventId >= 0) {
      headers.set(names.lastEventId(), lastEventId);
    }
    return new DefaultFullHttpRequest(
        HttpVersion.HTTP_1_1,
        HttpMethod.POST,
        item.path(),
        Unpooled.wrappedBuffer(item.body()),
        headers,
        new DefaultHttpHeaders());
  }
}
