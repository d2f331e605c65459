package io.hawthornlb.gateway.front;

import io.hawthornlb.gateway.event.EventLog;
import io.hawthornlb.gateway.loop.Listening;
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

/** Accepts callers' connections and passes their requests to a handler. */
public final class FrontServer {

  /** Length of the accept queue; all clients of a data centre may connect within a second. */
  private static final int BACKLOG = 1_024;

  /**
   * Connections that are accepted at once. Those that wait in the queue of the system grow old, and
   * their callers leave.
   */
  private static final int ACCEPTED_AT_ONCE = 512;

  private final RequestHandler handler;
  private final ConfigHolder config;
  private final ConfigFreshness check;
  private final InstantSource clock;
  private final EventLog log;
  private final Set<FrontConnection> connections = new HashSet<>();
  private @Nullable Channel listening;
  private boolean draining;

  /** Creates a server that passes requests to a handler. */
  public FrontServer(
      RequestHandler handler,
      ConfigHolder config,
      ConfigFreshness check,
      InstantSource clock,
      EventLog log) {
    this.handler = handler;
    this.config = config;
    this.check = check;
    this.clock = clock;
    this.log = log;
  }

  /** Binds an address and accepts connections there. */
  public void bind(EventLoopGroup loop, InetSocketAddress address) {
    ServerBootstrap server =
        new ServerBootstrap()
            .group(loop)
            .channelFactory(NioServerSocketChannel::new)
            .option(ChannelOption.SO_BACKLOG, BACKLOG)
            .option(ChannelOption.MAX_MESSAGES_PER_READ, ACCEPTED_AT_ONCE)
            .option(ChannelOption.SO_REUSEADDR, true)
            .childOption(ChannelOption.TCP_NODELAY, true)
            .handler(new AcceptHandler(new AcceptThrottle(loop, clock), log))
            .childHandler(new Pipeline());
    listening = Listening.await(server.bind(address), address, "callers");
  }

  /** Starts draining: each connection closes after the next response that ends on it. */
  public void drain() {
    draining = true;
  }

  /** Stops accepting connections, and closes those on which no request is being handled. */
  public void stopAccepting() {
    Channel current = listening;
    if (current != null) {
      current.close();
    }
    closeIdle();
  }

  /**
   * Stops accepting connections, ends the requests that are still being handled with a final
   * response, and closes the idle connections.
   */
  public void shutDown() {
    Channel current = listening;
    if (current != null) {
      current.close();
    }
    Set.copyOf(connections).forEach(FrontConnection::shutDown);
    closeIdle();
  }

  /** Returns the number of requests that are being handled. */
  public long active() {
    return connections.stream().filter(FrontConnection::isBusy).count();
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

  ConfigFreshness check() {
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

  /** Sets up the channel pipeline of a connection. */
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
