package io.hawthornlb.gateway.wire;

import io.hawthornlb.gateway.endpoint.EndpointIncarnation;
import io.hawthornlb.gateway.event.EventLog;
import io.hawthornlb.gateway.metric.GatewayMetrics;
import io.netty.bootstrap.Bootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpRequestEncoder;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.jspecify.annotations.Nullable;

/**
 * Sends requests to endpoints over pooled connections, with one request at a time on each.
 *
 * <p>When an endpoint restarts under the same id, older connections are reset at their next use or
 * stay silent. Each pooled connection therefore belongs to one incarnation of an endpoint. When a
 * new incarnation starts, the pool closes the idle connections to the former one and fails the
 * requests on them.
 */
public final class EndpointPool {

  /**
   * Timeout for opening a connection; endpoints accept within 1 ms, a network link adds 6 ms and a
   * busy core 50 ms.
   */
  private static final int CONNECT_MILLIS = 120;

  private static final Deque<Channel> NO_CHANNELS = new ArrayDeque<>();

  private final IdleLimits idleLimits;
  private final EventLoop loop;
  private final HeaderNames names;
  private final InstantSource clock;
  private final ConnectionCounts counts;
  private final AnswerLines answers;
  private final Map<EndpointIncarnation, Deque<Channel>> idle = new HashMap<>();
  private final Set<PooledCall> running = new HashSet<>();
  private final Bootstrap bootstrap;

  /** Creates a pool that does all its work on the event loop. */
  public EndpointPool(
      EventLoop loop,
      HeaderNames names,
      InstantSource clock,
      GatewayMetrics metrics,
      EventLog log) {
    this.idleLimits = new IdleLimits(loop);
    this.loop = loop;
    this.clock = clock;
    this.names = names;
    this.counts = new ConnectionCounts(metrics);
    this.answers = new AnswerLines(names, metrics, log);
    this.bootstrap =
        new Bootstrap()
            .group(loop)
            .channelFactory(NioSocketChannel::new)
            .option(ChannelOption.TCP_NODELAY, true)
            .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_MILLIS)
            .handler(new Pipeline());
  }

  /**
   * Sends a request; takes ownership of its reference.
   *
   * @param address address at which the endpoint accepts requests
   */
  public EndpointCall send(
      EndpointIncarnation endpoint,
      InetSocketAddress address,
      FullHttpRequest request,
      EndpointCallListener listener) {
    PooledCall call = new PooledCall(this, endpoint, request, listener);
    Channel idleChannel = takeIdle(endpoint, call.requestId());
    if (idleChannel != null) {
      counts.reused(endpoint);
      call.write(idleChannel);
      return call;
    }
    if (idle.getOrDefault(endpoint, NO_CHANNELS).isEmpty()) {
      counts.opened(endpoint);
    } else {
      counts.openedBesideIdle(endpoint);
    }
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

  /** Closes the idle connections to an endpoint that has left. */
  public void forget(EndpointIncarnation endpoint) {
    Deque<Channel> channels = idle.remove(endpoint);
    if (channels != null) {
      channels.forEach(channel -> close(channel, ConnectionEnd.ENDPOINT_GONE));
    }
    counts.forget(endpoint);
  }

  /**
   * Closes the idle connections to former incarnations of a restarted endpoint, and fails the
   * requests on other such connections.
   */
  public void onRestart(EndpointIncarnation endpoint) {
    List.copyOf(idle.keySet()).stream().filter(endpoint::follows).forEach(this::forget);
    // Runs later, so that a listener that sends the request again finds the new incarnation known
    // everywhere.
    loop.execute(() -> failFormerCalls(endpoint));
  }

  /**
   * Fails the requests that a former incarnation received. The list of endpoints shows a restart up
   * to one second late, so a connection that was opened after the start belongs to the new
   * incarnation.
   */
  private void failFormerCalls(EndpointIncarnation endpoint) {
    Instant start = Instant.ofEpochMilli(endpoint.born());
    for (PooledCall call : List.copyOf(running)) {
      if (endpoint.follows(call.endpoint()) && call.openedBefore(start)) {
        call.failed("the endpoint has restarted");
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

  AnswerLines answers() {
    return answers;
  }

  IdleLimits idleLimits() {
    return idleLimits;
  }

  EventLoop loop() {
    return loop;
  }

  void keep(EndpointIncarnation endpoint, Channel channel) {
    counts.onIdle(endpoint);
    idle.computeIfAbsent(endpoint, any -> new ArrayDeque<>()).push(channel);
  }

  void discard(EndpointIncarnation endpoint, Channel channel) {
    Deque<Channel> channels = idle.get(endpoint);
    if (channels != null) {
      channels.remove(channel);
    }
  }

  /** Takes the idle connection that was used last of those that may carry a request. */
  private @Nullable Channel takeIdle(EndpointIncarnation endpoint, @Nullable String requestId) {
    Iterator<Channel> channels = idle.getOrDefault(endpoint, NO_CHANNELS).iterator();
    while (channels.hasNext()) {
      Channel channel = channels.next();
      if (!channel.isActive() || !mayReuse(channel)) {
        channels.remove();
        close(channel, ConnectionEnd.FORGOTTEN);
      } else if (handler(channel).mayCarry(requestId)) {
        channels.remove();
        return channel;
      }
    }
    return null;
  }

  static void close(Channel channel, ConnectionEnd end) {
    handler(channel).recordEnd(end);
    channel.close();
  }

  private boolean mayReuse(Channel channel) {
    Duration idleTime = handler(channel).currentIdleTime();
    return idleLimits.allows(channel.remoteAddress(), idleTime);
  }

  /** Sets up the channel pipeline of a connection. */
  private final class Pipeline extends ChannelInitializer<Channel> {

    @Override
    protected void initChannel(Channel channel) {
      EndpointHandler handler = new EndpointHandler(counts, answers);
      channel
          .pipeline()
          .addLast(new HttpRequestEncoder(), handler.guard(), handler.decoder(), handler);
    }
  }
}
