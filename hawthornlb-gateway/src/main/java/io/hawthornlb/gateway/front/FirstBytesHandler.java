package io.hawthornlb.gateway.front;

import io.hawthornlb.gateway.loop.WorkAccount;
import io.hawthornlb.gateway.loop.WorkKind;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;

/**
 * Notifies a connection of received bytes before they are decoded.
 *
 * <p>A caller that sends its headers one byte at a time could hold a connection forever without
 * ever producing a decoded message. The first byte therefore starts a timer that stops only when
 * the headers are complete.
 */
final class FirstBytesHandler extends ChannelInboundHandlerAdapter {

  private final FrontConnection connection;

  FirstBytesHandler(FrontConnection connection) {
    this.connection = connection;
  }

  @Override
  public void channelRead(ChannelHandlerContext ctx, Object message) {
    WorkAccount.noteKind(ctx.channel(), WorkKind.CALLER);
    connection.onBytesRead();
    ctx.fireChannelRead(message);
  }
}
