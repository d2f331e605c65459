package io.hawthornlb.gateway.front;

import io.hawthornlb.gateway.event.EventLog;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelOption;

/** Closes new connections that the throttle does not admit, without reading from them. */
final class AcceptHandler extends ChannelInboundHandlerAdapter {

  private final AcceptThrottle throttle;
  private final EventLog log;

  AcceptHandler(AcceptThrottle throttle, EventLog log) {
    this.throttle = throttle;
    this.log = log;
  }

  @Override
  public void channelRead(ChannelHandlerContext ctx, Object message) {
    Channel accepted = (Channel) message;
    if (throttle.admit()) {
      ctx.fireChannelRead(accepted);
      return;
    }
    // A reset tells the caller at once that nothing was read.
    accepted.config().setOption(ChannelOption.SO_LINGER, 0);
    accepted.unsafe().closeForcibly();
  }

  @Override
  public void channelReadComplete(ChannelHandlerContext ctx) {
    long refused = throttle.takeRefused();
    if (refused > 0) {
      log.routine("front", "connections.refused").with("count", refused).write();
    }
    ctx.fireChannelReadComplete();
  }
}
