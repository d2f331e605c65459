package io.hawthornlb.net.http;

import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelOutboundHandlerAdapter;
import io.netty.channel.ChannelPromise;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpRequest;

/** Tells whether the last request on a connection is a HEAD request, whose response has no body. */
final class HeadRequestWatch extends ChannelOutboundHandlerAdapter {

  private boolean head;

  @Override
  public void write(ChannelHandlerContext ctx, Object message, ChannelPromise promise) {
    if (message instanceof HttpRequest request) {
      head = request.method().equals(HttpMethod.HEAD);
    }
    ctx.write(message, promise);
  }

  boolean answersHead() {
    return head;
  }
}
