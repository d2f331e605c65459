package io.hawthornlb.net.peer.support;

import io.hawthornlb.net.peer.PeerOptions;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.ssl.SslHandshakeCompletionEvent;
import io.netty.handler.timeout.IdleStateEvent;
import java.time.Duration;

/**
 * Reports the events of one channel to its link, and detects an unresponsive channel by heartbeats.
 *
 * <p>A network device between both ends can lose the state of a connection. The connection then
 * neither fails nor delivers: writes succeed into buffers and requests wait forever, while new
 * connections work. If no byte arrives for the probe time, the handler therefore sends a probe,
 * which the peer sends back. If several probes in a row bring no byte, the handler closes the
 * channel. A live peer always sends probes back, so a working connection is closed only if the peer
 * is paused for longer than the allowed silence.
 */
final class LinkHandler extends SimpleChannelInboundHandler<PeerFrame> {

  /**
   * Factor by which the allowed silence is longer during the TLS handshake.
   *
   * <p>A handshake may take longer than a response, since the first handshakes run before the JVM
   * has compiled their code.
   */
  private static final int HANDSHAKE_SILENCE_FACTOR = 3;

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
      onHandshakeCompleted(context, handshake);
    } else if (event instanceof IdleStateEvent idle) {
      idle(context, idle);
    }
  }

  private void onHandshakeCompleted(
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
   * Closes the channel if it was silent for too long, or else sends a probe.
   *
   * <p>No probe is sent before the hello. A probe written during the TLS handshake would be sent
   * after the handshake but before the hello, and the peer would close the connection. The peer
   * would stay unreachable as long as handshakes take longer than the probe time.
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
    return handshaken
        ? options.silence()
        : options.silence().multipliedBy(HANDSHAKE_SILENCE_FACTOR);
  }

  @Override
  public void channelInactive(ChannelHandlerContext context) {
    listener.lost(context.channel(), "the connection was closed");
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
