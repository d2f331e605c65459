package io.hawthornlb.gateway.wire;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpResponseDecoder;

/**
 * Decodes the answers on a connection.
 *
 * <p>Whether an answer has a body follows from the request that waits, not from the order of
 * requests, since an endpoint may answer a request twice. Bytes that come while no request waits
 * are reported even if they form no answer yet: the next answer would be joined to them.
 */
final class AnswerDecoder extends HttpResponseDecoder {

  private final EndpointHandler handler;

  AnswerDecoder(EndpointHandler handler) {
    // The guard before the decoder has checked names and values already.
    super(new HttpDecoderConfig().setValidateHeaders(false));
    this.handler = handler;
  }

  /** Returns whether bytes have been received beyond the end of the last answer. */
  boolean hasUnread() {
    return actualReadableBytes() > 0 || handler.guard().hasUnread();
  }

  @Override
  public void channelRead(ChannelHandlerContext ctx, Object message) throws Exception {
    boolean stray = !handler.waits();
    int bytes = message instanceof ByteBuf content ? content.readableBytes() : 0;
    super.channelRead(ctx, message);
    if (stray) {
      handler.onStrayBytes(ctx.channel());
    } else {
      handler.onBytesRead(bytes);
    }
  }

  @Override
  protected boolean isContentAlwaysEmpty(HttpMessage message) {
    return super.isContentAlwaysEmpty(message) || handler.awaitsHeadOnly();
  }
}
