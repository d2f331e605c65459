package io.hawthornlb.gateway.wire;

import io.hawthornlb.gateway.endpoint.EndpointRecord;
import io.netty.bootstrap.Bootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpClientCodec;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;
import org.jspecify.annotations.Nullable;

/** Sends requests to endpoints over kept connections, one request at a time on each. */
public final class EndpointPool {

  /** Time to open a connection; endpoints accept within 1 ms, a link adds 6 ms, a busy core 50. */
  private static final int CONNECT_MILLIS = 120;

  private final RestLimits rests;
  private final EventLoop loop;
  private final HeaderNames names;
  private final Map<String, Deque<Channel>> idle = new HashMap<>();
  private final Bootstrap bootstrap;

  /** Creates a pool on an event loop. */
  public EndpointPool(EventLoop loop, HeaderNames names) {
    this.rests = new RestLimits(loop);
    this.loop = loop;
    this.names = names;
    this.bootstrap =
        new Bootstrap()
            .group(loop)
            .channel(NioSocketChannel.class)
            .option(ChannelOption.TCP_NODELAY, true)
            .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_MILLIS)
            .handler(new Pipeline());
  }

  /** Sends a request; takes over the reference to it. */
  public EndpointCall send(
      EndpointRecord endpoint, FullHttpRequest request, EndpointCallListener listener) {
    PooledCall call = new PooledCall(this, endpoint.id(), request, listener);
    Channel kept = takeIdle(endpoint.id());
    if (kept != null) {
      call.write(kept);
      return call;
    }
    bootstrap
        .connect(endpoint.address())
        .addListener(
            (ChannelFutureListener)
                connected -> {
                  if (connected.isSuccess()) {
                    call.write(connected.channel());
                  } else {
                    call.notSent("no connection: " + connected.cause());
                  }
                });
    return call;
  }

  /** Closes the idle connections to an endpoint that is gone. */
  public void forget(String endpointId) {
    Deque<Channel> channels = idle.remove(endpointId);
    if (channels != null) {
      channels.forEach(Channel::close);
    }
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

  void keep(String endpointId, Channel channel) {
    idle.computeIfAbsent(endpointId, any -> new ArrayDeque<>()).push(channel);
  }

  void discard(String endpointId, Channel channel) {
    Deque<Channel> channels = idle.get(endpointId);
    if (channels != null) {
      channels.remove(channel);
    }
  }

  private @Nullable Channel takeIdle(String endpointId) {
    Deque<Channel> channels = idle.get(endpointId);
    while (channels != null && !channels.isEmpty()) {
      Channel channel = channels.pop();
      if (channel.isActive() && restedLittle(channel)) {
        return channel;
      }
      channel.close();
    }
    return null;
  }

  private boolean restedLittle(Channel channel) {
    Duration rest = channel.pipeline().get(EndpointHandler.class).rested();
    return rests.allows(channel.remoteAddress(), rest);
  }

  /** Sets up a connection. */
  private static final class Pipeline extends ChannelInitializer<Channel> {

    @Override
    protected void initChannel(Channel channel) {
      channel.pipeline().addLast(new HttpClientCodec());
      channel.pipeline().addLast(new EndpointHandler());
    }
  }
}
