package io.hawthornlb.gateway.front;

import io.hawthornlb.gateway.loop.WorkAccount;
import io.hawthornlb.gateway.loop.WorkKind;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;

/**
 * Tells a connection that bytes came, before they are decoded.
 *
 * <p>Failure: a caller sends headers a byte at a time and holds a connection for ever. No decoded
 * message shows it. Guard: the first byte starts a timer that only whole headers stop.
 */
final class FirstBytesHandler extends ChannelInboundHandlerAdapter {

  private final FrontConnection connection;

  FirstBytesHandler(FrontConnection connection) {
    this.connection = connection;
  }

  @Override
  public void channelRead(ChannelHandlerContext ctx, Object message) {
    WorkAccount.noteKind(ctx.channel(), WorkKind.CALLER);
    connection.bytesCame();
    ctx.fireChannelRead(message);
  }
}
