package io.hawthornlb.gateway.wire;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.ConnectTimeoutException;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.nio.NioSocketChannel;
import java.net.ConnectException;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.concurrent.TimeUnit;

/**
 * Opens a connection to find out whether an endpoint has ended.
 *
 * <p>The connections of a process that ends may break a moment before its port is closed, so an
 * endpoint that accepts a connection is tried once more.
 */
public final class ConnectionProbe implements EndpointLiveness {

  private static final int CONNECT_MILLIS = 300;

  /** Time for which a living endpoint keeps a connection open. */
  private static final Duration KEPT = Duration.ofMillis(50);

  /** Pause before the second try; endpoints need seconds to start again. */
  private static final Duration AGAIN = Duration.ofMillis(100);

  private final EventLoop loop;
  private final Bootstrap bootstrap;

  /** Creates a probe that does all its work on the event loop. */
  public ConnectionProbe(EventLoop loop) {
    this.loop = loop;
    this.bootstrap =
        new Bootstrap()
            .group(loop)
            .channelFactory(NioSocketChannel::new)
            .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_MILLIS)
            .handler(new NothingRead());
  }

  @Override
  public void check(InetSocketAddress address, Receiver receiver) {
    tryOnce(
        address,
        ended -> {
          if (ended) {
            receiver.onChecked(true);
          } else {
            schedule(AGAIN, () -> tryOnce(address, receiver));
          }
        });
  }

  private void tryOnce(InetSocketAddress address, Receiver receiver) {
    bootstrap
        .connect(address)
        .addListener(
            (ChannelFutureListener)
                connected -> {
                  if (connected.isSuccess()) {
                    schedule(KEPT, () -> onKept(connected.channel(), receiver));
                  } else {
                    receiver.onChecked(refused(connected.cause()));
                  }
                });
  }

  private static boolean refused(Throwable cause) {
    return cause instanceof ConnectException && !(cause instanceof ConnectTimeoutException);
  }

  private static void onKept(Channel channel, Receiver receiver) {
    boolean ended = !channel.isActive();
    channel.close();
    receiver.onChecked(ended);
  }

  /** Pipeline of a connection on which nothing is expected. */
  private static final class NothingRead extends ChannelInitializer<Channel> {

    @Override
    protected void initChannel(Channel channel) {
      channel.pipeline().addLast(new ChannelInboundHandlerAdapter());
    }
  }

  private void schedule(Duration delay, Runnable task) {
    loop.schedule(task, delay.toMillis(), TimeUnit.MILLISECONDS);
  }
}
