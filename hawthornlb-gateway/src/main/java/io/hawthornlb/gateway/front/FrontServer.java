package io.hawthornlb.gateway.front;

import io.hawthornlb.gateway.event.EventLog;
import io.hawthornlb.gateway.route.CallerLimits;
import io.hawthornlb.gateway.route.ConfigHolder;
import io.hawthornlb.gateway.route.RoutingConfig;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpServerCodec;
import java.net.InetSocketAddress;
import java.time.InstantSource;
import java.util.HashSet;
import java.util.Set;
import org.jspecify.annotations.Nullable;

/** Takes callers' connections. */
public final class FrontServer {

  /** Connections that wait to be accepted; a zone's clients may all come within a second. */
  private static final int BACKLOG = 1_024;

  private final RequestHandler handler;
  private final ConfigHolder config;
  private final ConfigCheck check;
  private final InstantSource clock;
  private final EventLog log;
  private final Set<FrontConnection> connections = new HashSet<>();
  private @Nullable Channel listening;
  private boolean draining;

  /** Creates a server that hands requests to a handler. */
  public FrontServer(
      RequestHandler handler,
      ConfigHolder config,
      ConfigCheck check,
      InstantSource clock,
      EventLog log) {
    this.handler = handler;
    this.config = config;
    this.check = check;
    this.clock = clock;
    this.log = log;
  }

  /** Binds an address and takes connections there. */
  public void bind(EventLoopGroup loop, InetSocketAddress address) {
    listening =
        new ServerBootstrap()
            .group(loop)
            .channelFactory(NioServerSocketChannel::new)
            .option(ChannelOption.SO_BACKLOG, BACKLOG)
            .option(ChannelOption.SO_REUSEADDR, true)
            .childOption(ChannelOption.TCP_NODELAY, true)
            .childHandler(new Pipeline())
            .bind(address)
            .syncUninterruptibly()
            .channel();
  }

  /** Asks callers to leave: connections close with the answers that end from now on. */
  public void drain() {
    draining = true;
  }

  /** Takes no connections any more, and closes those on which no request is being handled. */
  public void stopAccepting() {
    Channel current = listening;
    if (current != null) {
      current.close();
    }
    closeIdle();
  }

  /** Gives the requests that are still being handled their final answers, and closes all. */
  public void end() {
    Channel current = listening;
    if (current != null) {
      current.close();
    }
    Set.copyOf(connections).forEach(FrontConnection::end);
    closeIdle();
  }

  /** Returns the number of requests that are being handled. */
  public long active() {
    return connections.stream().filter(FrontConnection::busy).count();
  }

  boolean draining() {
    return draining;
  }

  RequestHandler handler() {
    return handler;
  }

  InstantSource clock() {
    return clock;
  }

  EventLog log() {
    return log;
  }

  ConfigCheck check() {
    return check;
  }

  CallerLimits limits() {
    return config.current().map(RoutingConfig::limits).orElse(CallerLimits.DEFAULT);
  }

  void opened(FrontConnection connection) {
    connections.add(connection);
  }

  void closed(FrontConnection connection) {
    connections.remove(connection);
  }

  private void closeIdle() {
    Set.copyOf(connections).forEach(FrontConnection::closeIfIdle);
  }

  /** Sets up a connection. */
  private final class Pipeline extends ChannelInitializer<Channel> {

    @Override
    protected void initChannel(Channel channel) {
      int headerBytes = limits().headerBytes();
      HttpDecoderConfig decoding =
          new HttpDecoderConfig()
              .setMaxInitialLineLength(headerBytes)
              .setMaxHeaderSize(headerBytes);
      FrontConnection connection = new FrontConnection(FrontServer.this, headerBytes);
      channel.pipeline().addLast(new FirstBytesHandler(connection));
      channel.pipeline().addLast(new HttpServerCodec(decoding));
      channel.pipeline().addLast(connection);
    }
  }
}
