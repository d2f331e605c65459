package io.hawthornlb.net.peer.support;

import io.hawthornlb.core.util.Checks;
import io.hawthornlb.net.peer.PeerHandlerRegistry;
import io.hawthornlb.net.peer.PeerNode;
import io.hawthornlb.net.peer.PeerOptions;
import io.hawthornlb.net.peer.PeerServer;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.WriteBufferWaterMark;
import io.netty.channel.group.ChannelGroup;
import io.netty.channel.group.DefaultChannelGroup;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.ssl.SslHandler;
import io.netty.util.concurrent.GlobalEventExecutor;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.Executor;

/** {@link PeerServer} on Netty. */
public final class NettyPeerServer implements PeerServer {

  /**
   * Number of allowed silences after which the server closes a connection.
   *
   * <p>Clients send probes and close an unresponsive connection earlier. The server only releases
   * connections that clients left behind.
   */
  private static final int CLOSE_SILENCE_FACTOR = 3;

  private final PeerNode node;
  private final PeerHandlerRegistry handlers;
  private final Executor executor;
  private final ChannelGroup connections;
  private final Channel listening;

  /**
   * Creates a server and starts listening.
   *
   * @param node the context of this instance
   * @param address the address to listen on; with port 0 the operating system chooses a port
   * @param handlers the handlers of the messages
   * @param executor runs the handlers; receives the messages of a peer in their order
   * @throws IllegalArgumentException if connections are not secured and the address is not loopback
   */
  public NettyPeerServer(
      PeerNode node, InetSocketAddress address, PeerHandlerRegistry handlers, Executor executor) {
    Checks.isTrue(
        node.security().authenticates() || address.getAddress().isLoopbackAddress(),
        "peers without TLS must listen on loopback; use mutual TLS for " + address);
    this.node = node;
    this.handlers = handlers;
    this.executor = executor;
    this.connections = new DefaultChannelGroup(GlobalEventExecutor.INSTANCE, true);
    this.listening = bootstrap().bind(address).syncUninterruptibly().channel();
  }

  private ServerBootstrap bootstrap() {
    int writeLimit = node.options().writeLimit();
    return new ServerBootstrap()
        .group(node.eventLoops())
        .channel(NioServerSocketChannel.class)
        .option(ChannelOption.SO_REUSEADDR, true)
        .childOption(ChannelOption.TCP_NODELAY, true)
        .childOption(
            ChannelOption.WRITE_BUFFER_WATER_MARK,
            new WriteBufferWaterMark(writeLimit / 2, writeLimit))
        .childHandler(
            new ChannelInitializer<>() {
              @Override
              protected void initChannel(Channel channel) {
                initialize(channel);
              }
            });
  }

  private void initialize(Channel channel) {
    connections.add(channel);
    PeerOptions options = node.options();
    Optional<SslHandler> tls = node.security().serverHandler(channel.alloc());
    Duration idle = options.silence().multipliedBy(CLOSE_SILENCE_FACTOR);
    PeerConnection last = new PeerConnection(node, handlers, executor);
    PeerPipeline.install(channel.pipeline(), tls, options, idle, last);
  }

  @Override
  public InetSocketAddress address() {
    return (InetSocketAddress) listening.localAddress();
  }

  @Override
  public void close() {
    listening.close().syncUninterruptibly();
    connections.close().awaitUninterruptibly();
  }
}
