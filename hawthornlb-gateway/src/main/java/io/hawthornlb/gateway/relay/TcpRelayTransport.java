package io.hawthornlb.gateway.relay;

import io.hawthornlb.gateway.http.HttpCall;
import io.hawthornlb.gateway.http.HttpCallException;
import io.hawthornlb.gateway.http.HttpReply;
import io.hawthornlb.gateway.peer.GatewayInstance;
import io.netty.bootstrap.Bootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.util.concurrent.ScheduledFuture;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.TimeUnit;
import org.jspecify.annotations.Nullable;

/**
 * Links to peers over TCP; calls share one link a peer, and replies come in any order.
 *
 * <p>Failure: a link goes silent for good while new ones work, or its peer is frozen. It shows as a
 * call without an answer. Guard: a link on which a call timed out, and on which nothing came since
 * it was sent, is closed, and the next call opens another. On a link that brings other answers the
 * call is slow, and ends alone.
 */
public final class TcpRelayTransport implements RelayTransport {

  /** Time to open a link; peers accept within some ms, a busy core adds 50. */
  private static final int CONNECT_MILLIS = 150;

  /** Added to the time of a call for the way to the peer and back: 6 ms, on a busy core 100. */
  private static final Duration HOP = Duration.ofMillis(100);

  private final EventLoop loop;
  private final Map<InetSocketAddress, Link> links = new HashMap<>();

  /** Creates a transport on an event loop, on which all calls are made. */
  public TcpRelayTransport(EventLoop loop) {
    this.loop = loop;
  }

  @Override
  public CompletionStage<HttpReply> call(GatewayInstance peer, RelayTarget target, HttpCall call) {
    return links.computeIfAbsent(peer.address(), Link::new).call(target, call);
  }

  /** A link to one peer. */
  private final class Link implements RelayChannels.Receiver {

    private final InetSocketAddress peer;
    private final ChannelFuture opened;
    private final Map<Long, Pending> pending = new HashMap<>();
    private long lastId;
    private long received;

    private Link(InetSocketAddress peer) {
      this.peer = peer;
      this.opened =
          new Bootstrap()
              .group(loop)
              .channelFactory(NioSocketChannel::new)
              .option(ChannelOption.TCP_NODELAY, true)
              .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_MILLIS)
              .handler(
                  new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel channel) {
                      RelayChannels.setUp(channel, Link.this);
                    }
                  })
              .connect(peer);
    }

    private CompletionStage<HttpReply> call(RelayTarget target, HttpCall call) {
      lastId++;
      long id = lastId;
      Duration patience = call.timeout().plus(HOP);
      Pending asked = new Pending(new CompletableFuture<>());
      pending.put(id, asked);
      asked.timer = loop.schedule(() -> timedOut(id), patience.toMillis(), TimeUnit.MILLISECONDS);
      opened.addListener(
          (ChannelFutureListener)
              connected -> {
                if (connected.isSuccess()) {
                  write(id, target, call);
                } else {
                  leave("no link to " + peer + ": " + connected.cause());
                }
              });
      return asked.result;
    }

    private void write(long id, RelayTarget target, HttpCall call) {
      Pending asked = pending.get(id);
      if (asked == null) {
        return;
      }
      asked.sent = true;
      asked.receivedBefore = received;
      RelayChannels.send(
          opened.channel(),
          new RelayMessage.Call(
              id, target, call.method(), call.path(), call.headers(), call.body(), call.timeout()));
    }

    private void timedOut(long id) {
      Pending silent = pending.remove(id);
      if (silent != null) {
        silent.fail("no answer from " + peer, !silent.sent);
        if (!silent.sent || received == silent.receivedBefore) {
          leave("the link to " + peer + " is silent");
        }
      }
    }

    @Override
    public void received(Channel channel, RelayMessage message) {
      received++;
      Pending asked = pending.remove(message.id());
      if (asked == null) {
        return;
      }
      if (message instanceof RelayMessage.Reply reply) {
        asked.complete(new HttpReply(reply.status(), reply.headers(), reply.body()));
      } else if (message instanceof RelayMessage.Failure failure) {
        asked.fail(failure.cause(), failure.unsent());
      }
    }

    @Override
    public void closed(Channel channel, String cause) {
      leave(cause);
    }

    private void leave(String cause) {
      links.remove(peer, this);
      List<Pending> left = List.copyOf(pending.values());
      pending.clear();
      left.forEach(each -> each.fail(cause, !each.sent));
      opened.channel().close();
    }
  }

  /** A call that waits for its reply. */
  private static final class Pending {

    private final CompletableFuture<HttpReply> result;
    private @Nullable ScheduledFuture<?> timer;
    private boolean sent;
    private long receivedBefore;

    private Pending(CompletableFuture<HttpReply> result) {
      this.result = result;
    }

    private void complete(HttpReply reply) {
      stopTimer();
      result.complete(reply);
    }

    private void fail(String cause, boolean unsent) {
      stopTimer();
      result.completeExceptionally(new HttpCallException(cause, unsent));
    }

    private void stopTimer() {
      if (timer != null) {
        timer.cancel(false);
      }
    }
  }
}
