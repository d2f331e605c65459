package io.hawthornlb.gateway.wire;

import io.hawthornlb.gateway.endpoint.EndpointLife;
import io.hawthornlb.gateway.metric.GatewayMetrics;
import io.netty.bootstrap.Bootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpClientCodec;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.jspecify.annotations.Nullable;

/**
 * Sends requests to endpoints over kept connections, one request at a time on each.
 *
 * <p>Failure: an endpoint starts again under its id. It shows as connections that are reset when
 * they are used next, or stay silent under a request. Guard: connections belong to one life of an
 * endpoint; when the next one begins, kept ones are closed, and requests on older ones have failed.
 */
public final class EndpointPool {

  /** Time to open a connection; endpoints accept within 1 ms, a link adds 6 ms, a busy core 50. */
  private static final int CONNECT_MILLIS = 120;

  private final RestLimits rests;
  private final EventLoop loop;
  private final HeaderNames names;
  private final InstantSource clock;
  private final ConnectionCounts counts;
  private final Map<EndpointLife, Deque<Channel>> idle = new HashMap<>();
  private final Set<PooledCall> running = new HashSet<>();
  private final Bootstrap bootstrap;

  /** Creates a pool on an event loop. */
  public EndpointPool(
      EventLoop loop, HeaderNames names, InstantSource clock, GatewayMetrics metrics) {
    this.rests = new RestLimits(loop);
    this.loop = loop;
    this.clock = clock;
    this.names = names;
    this.counts = new ConnectionCounts(metrics);
    this.bootstrap =
        new Bootstrap()
            .group(loop)
            .channelFactory(NioSocketChannel::new)
            .option(ChannelOption.TCP_NODELAY, true)
            .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_MILLIS)
            .handler(new Pipeline());
  }

  /**
   * Sends a request; takes over the reference to it.
   *
   * @param address where the endpoint takes requests
   */
  public EndpointCall send(
      EndpointLife endpoint,
      InetSocketAddress address,
      FullHttpRequest request,
      EndpointCallListener listener) {
    PooledCall call = new PooledCall(this, endpoint, request, listener);
    Channel kept = takeIdle(endpoint);
    if (kept != null) {
      counts.reused(endpoint);
      call.write(kept);
      return call;
    }
    counts.opened(endpoint);
    bootstrap
        .connect(address)
        .addListener(
            (ChannelFutureListener)
                connected -> {
                  if (connected.isSuccess()) {
                    handler(connected.channel()).opened(endpoint, clock.instant());
                    call.write(connected.channel());
                  } else {
                    counts.closed(endpoint, ConnectionEnd.NOT_OPENED);
                    call.notSent("no connection: " + connected.cause());
                  }
                });
    return call;
  }

  /** Closes the idle connections to an endpoint that is gone. */
  public void forget(EndpointLife endpoint) {
    Deque<Channel> channels = idle.remove(endpoint);
    if (channels != null) {
      channels.forEach(channel -> close(channel, ConnectionEnd.ENDPOINT_GONE));
    }
    counts.forget(endpoint);
  }

  /** Gives up the connections to former lives of an endpoint that has started again. */
  public void begun(EndpointLife endpoint) {
    List.copyOf(idle.keySet()).stream().filter(endpoint::follows).forEach(this::forget);
    // Later, so that whoever sends again finds the new life known everywhere.
    loop.execute(() -> giveUpCalls(endpoint));
  }

  /**
   * Fails the requests that a former life took. The list tells of a start up to a second late; a
   * connection that was opened after the start is one to the new life.
   */
  private void giveUpCalls(EndpointLife endpoint) {
    Instant start = Instant.ofEpochMilli(endpoint.born());
    for (PooledCall call : List.copyOf(running)) {
      if (endpoint.follows(call.endpoint()) && call.openedBefore(start)) {
        call.failed("the endpoint has started again");
        call.abort();
      }
    }
  }

  static EndpointHandler handler(Channel channel) {
    return channel.pipeline().get(EndpointHandler.class);
  }

  void began(PooledCall call) {
    running.add(call);
  }

  void ended(PooledCall call) {
    running.remove(call);
  }

  HeaderNames names() {
    return names;
  }

  RestLimits rests() {
    return rests;
  }

  EventLoop loop() {
    return loop;
  }

  void keep(EndpointLife endpoint, Channel channel) {
    counts.kept(endpoint);
    idle.computeIfAbsent(endpoint, any -> new ArrayDeque<>()).push(channel);
  }

  void discard(EndpointLife endpoint, Channel channel) {
    Deque<Channel> channels = idle.get(endpoint);
    if (channels != null) {
      channels.remove(channel);
    }
  }

  private @Nullable Channel takeIdle(EndpointLife endpoint) {
    Deque<Channel> channels = idle.get(endpoint);
    while (channels != null && !channels.isEmpty()) {
      Channel channel = channels.pop();
      if (channel.isActive() && restedLittle(channel)) {
        return channel;
      }
      close(channel, ConnectionEnd.FORGOTTEN);
    }
    return null;
  }

  static void close(Channel channel, ConnectionEnd end) {
    handler(channel).endsBy(end);
    channel.close();
  }

  private boolean restedLittle(Channel channel) {
    Duration rest = handler(channel).rested();
    return rests.allows(channel.remoteAddress(), rest);
  }

  /** Sets up a connection. */
  private final class Pipeline extends ChannelInitializer<Channel> {

    @Override
    protected void initChannel(Channel channel) {
      channel.pipeline().addLast(new HttpClientCodec());
      channel.pipeline().addLast(new EndpointHandler(counts));
    }
  }
}
