package io.hawthornlb.net.peer.support;

import io.hawthornlb.net.peer.PeerNode;
import io.hawthornlb.net.peer.PeerOptions;
import io.netty.bootstrap.Bootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.WriteBufferWaterMark;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.ssl.SslHandler;
import java.net.InetSocketAddress;
import java.util.Optional;

/** Opens channels to peers. */
final class LinkConnector {

  private final PeerNode node;

  LinkConnector(PeerNode node) {
    this.node = node;
  }

  /**
   * Starts to open a channel.
   *
   * <p>The listener is notified of success or failure later, never during this call.
   */
  Channel connect(InetSocketAddress address, EventLoop eventLoop, LinkListener listener) {
    PeerOptions options = node.options();
    int connectMillis = (int) options.connectTimeout().toMillis();
    Bootstrap bootstrap =
        new Bootstrap()
            .group(eventLoop)
            .channel(NioSocketChannel.class)
            .option(ChannelOption.TCP_NODELAY, true)
            .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, connectMillis)
            .option(
                ChannelOption.WRITE_BUFFER_WATER_MARK,
                new WriteBufferWaterMark(options.writeLimit() / 2, options.writeLimit()))
            .handler(initializer(listener));
    ChannelFuture connecting = bootstrap.connect(address);
    Channel channel = connecting.channel();
    connecting.addListener(
        done -> {
          if (!done.isSuccess()) {
            String cause = "cannot connect: " + Causes.text(done.cause());
            eventLoop.execute(() -> listener.lost(channel, cause));
          }
        });
    return channel;
  }

  private ChannelInitializer<Channel> initializer(LinkListener listener) {
    return new ChannelInitializer<>() {
      @Override
      protected void initChannel(Channel channel) {
        Optional<SslHandler> tls = node.security().clientHandler(channel.alloc());
        PeerOptions options = node.options();
        LinkHandler last = new LinkHandler(options, tls.isPresent(), listener);
        PeerPipeline.install(channel.pipeline(), tls, options, options.probe(), last);
      }
    };
  }
}
