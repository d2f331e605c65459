package io.hawthornlb.net.peer.support;

import io.hawthornlb.net.peer.PeerOptions;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.ssl.SslHandshakeCompletionEvent;
import io.netty.handler.timeout.IdleStateEvent;

/**
 * Reports the events of one channel to its link and finds out when the channel is silent.
 *
 * <p>A connection that something between both ends lost track of neither fails nor delivers: writes
 * succeed into buffers and requests wait for ever, while new connections work. So whenever nothing
 * has arrived for a while the handler sends a probe, which the peer sends back; when several in a
 * row bring nothing, the channel is closed. A live peer always answers, so a working connection is
 * closed only if the peer is paused for longer than the allowed silence.
 */
final class LinkHandler extends SimpleChannelInboundHandler<PeerFrame> {

  private final PeerOptions options;
  private final boolean encrypted;
  private final LinkListener listener;
  private int idlePeriods;

  LinkHandler(PeerOptions options, boolean encrypted, LinkListener listener) {
    this.options = options;
    this.encrypted = encrypted;
    this.listener = listener;
  }

  @Override
  public void channelActive(ChannelHandlerContext context) {
    if (!encrypted) {
      listener.connected(context.channel());
    }
  }

  @Override
  protected void channelRead0(ChannelHandlerContext context, PeerFrame frame) {
    listener.received(context.channel(), frame);
  }

  @Override
  public void userEventTriggered(ChannelHandlerContext context, Object event) {
    if (event instanceof SslHandshakeCompletionEvent handshake) {
      handshaken(context, handshake);
    } else if (event instanceof IdleStateEvent idle) {
      idle(context, idle);
    }
  }

  private void handshaken(ChannelHandlerContext context, SslHandshakeCompletionEvent handshake) {
    if (handshake.isSuccess()) {
      listener.connected(context.channel());
    } else {
      fail(context, "TLS handshake failed: " + Causes.text(handshake.cause()));
    }
  }

  private void idle(ChannelHandlerContext context, IdleStateEvent event) {
    idlePeriods = event.isFirst() ? 1 : idlePeriods + 1;
    if (options.probe().multipliedBy(idlePeriods).compareTo(options.silence()) >= 0) {
      fail(context, "silent for " + options.silence().toMillis() + " ms");
    } else if (context.channel().isWritable()) {
      context.writeAndFlush(PeerFrame.probe());
    }
  }

  @Override
  public void channelInactive(ChannelHandlerContext context) {
    listener.lost(context.channel(), "the connection ended");
  }

  @Override
  public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
    fail(context, "the connection failed: " + Causes.text(cause));
  }

  private void fail(ChannelHandlerContext context, String cause) {
    listener.lost(context.channel(), cause);
    context.close();
  }
}
