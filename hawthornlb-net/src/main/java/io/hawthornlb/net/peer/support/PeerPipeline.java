package io.hawthornlb.net.peer.support;

import io.hawthornlb.net.peer.PeerOptions;
import io.netty.channel.ChannelHandler;
import io.netty.channel.ChannelPipeline;
import io.netty.handler.codec.LengthFieldBasedFrameDecoder;
import io.netty.handler.codec.LengthFieldPrepender;
import io.netty.handler.ssl.SslHandler;
import io.netty.handler.timeout.IdleStateHandler;
import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.TimeUnit;

/** Installs the channel handlers of a connection between peers. */
final class PeerPipeline {

  private static final int LENGTH_BYTES = 4;

  private PeerPipeline() {}

  /**
   * Adds all handlers to a pipeline.
   *
   * <p>Idle time is measured on raw bytes, before TLS and framing, so that a connection which
   * slowly receives a large frame does not count as idle.
   */
  static void install(
      ChannelPipeline pipeline,
      Optional<SslHandler> tls,
      PeerOptions options,
      Duration idle,
      ChannelHandler last) {
    pipeline.addLast(new IdleStateHandler(idle.toMillis(), 0, 0, TimeUnit.MILLISECONDS));
    tls.ifPresent(pipeline::addLast);
    pipeline.addLast(
        new LengthFieldBasedFrameDecoder(options.frameLimit(), 0, LENGTH_BYTES, 0, LENGTH_BYTES));
    pipeline.addLast(new LengthFieldPrepender(LENGTH_BYTES));
    pipeline.addLast(new PeerFrameHandler());
    pipeline.addLast(last);
  }
}
