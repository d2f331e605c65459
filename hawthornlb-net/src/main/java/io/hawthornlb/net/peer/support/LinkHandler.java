package io.hawthornlb.net.peer.support;

import io.hawthornlb.net.peer.PeerOptions;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.ssl.SslHandshakeCompletionEvent;
import io.netty.handler.timeout.IdleStateEvent;
import java.time.Duration;

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

  /** A handshake may take longer than an answer: the first ones run before code is compiled. */
  private static final int SILENCES_FOR_HANDSHAKE = 3;

  private final PeerOptions options;
  private final boolean encrypted;
  private final LinkListener listener;
  private int idlePeriods;
  private boolean handshaken;

  LinkHandler(PeerOptions options, boolean encrypted, LinkListener listener) {
    this.options = options;
    this.encrypted = encrypted;
    this.listener = listener;
  }

  @Override
  public void channelActive(ChannelHandlerContext context) {
    if (!encrypted) {
      connected(context);
    }
  }

  @Override
  protected void channelRead0(ChannelHandlerContext context, PeerFrame frame) {
    listener.received(context.channel(), frame);
  }

  @Override
  public void userEventTriggered(ChannelHandlerContext context, Object event) {
    if (event instanceof SslHandshakeCompletionEvent handshake) {
      handshakeEnded(context, handshake);
    } else if (event instanceof IdleStateEvent idle) {
      idle(context, idle);
    }
  }

  private void handshakeEnded(
      ChannelHandlerContext context, SslHandshakeCompletionEvent handshake) {
    if (handshake.isSuccess()) {
      connected(context);
    } else {
      fail(context, "TLS handshake failed: " + Causes.text(handshake.cause()));
    }
  }

  private void connected(ChannelHandlerContext context) {
    handshaken = true;
    listener.connected(context.channel());
  }

  /**
   * Gives a silent connection up, or probes it.
   *
   * <p>A probe that is written during a handshake waits for its end and then goes out before the
   * hello, at which the peer closes the connection; with every handshake that is slower than the
   * time to a probe the peer would stay out of reach. So there is no probe before the hello.
   */
  private void idle(ChannelHandlerContext context, IdleStateEvent event) {
    idlePeriods = event.isFirst() ? 1 : idlePeriods + 1;
    Duration silence = options.probe().multipliedBy(idlePeriods);
    if (silence.compareTo(allowedSilence()) >= 0) {
      fail(context, "silent for " + silence.toMillis() + " ms");
    } else if (handshaken && context.channel().isWritable()) {
      context.writeAndFlush(PeerFrame.probe());
    }
  }

  private Duration allowedSilence() {
    return handshaken ? options.silence() : options.silence().multipliedBy(SILENCES_FOR_HANDSHAKE);
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
