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
 * Transport over TCP with one link for each peer. The calls to a peer share its link, and replies
 * arrive in any order.
 *
 * <p>A link may go silent for good while new links work, or its peer may be frozen. Calls on the
 * link then get no reply. Therefore a link is closed if a call on it timed out and nothing was
 * received since that call was sent. The next call opens another link. If the link received other
 * replies meanwhile, only the slow call fails.
 */
public final class TcpRelayTransport implements RelayTransport {

  /** Timeout for opening a link; peers accept within some ms, and a busy core adds 50. */
  private static final int CONNECT_MILLIS = 150;

  /**
   * Added to the timeout of a call for the way to the peer and back: 6 ms, or 100 on a busy core.
   */
  private static final Duration HOP_TIME = Duration.ofMillis(100);

  private final EventLoop loop;
  private final Map<InetSocketAddress, Link> links = new HashMap<>();

  /** Creates a transport. All calls must be made on the given event loop. */
  public TcpRelayTransport(EventLoop loop) {
    this.loop = loop;
  }

  @Override
  public CompletionStage<HttpReply> call(GatewayInstance peer, RelayTarget target, HttpCall call) {
    return links.computeIfAbsent(peer.address(), Link::new).call(target, call);
  }

  /** Link to one peer. */
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
      Duration timeout = call.timeout().plus(HOP_TIME);
      Pending pendingCall = new Pending(new CompletableFuture<>());
      pending.put(id, pendingCall);
      pendingCall.timer =
          loop.schedule(() -> onTimeout(id), timeout.toMillis(), TimeUnit.MILLISECONDS);
      opened.addListener(
          (ChannelFutureListener)
              connected -> {
                if (connected.isSuccess()) {
                  write(id, target, call);
                } else {
                  closeLink("no link to " + peer + ": " + connected.cause());
                }
              });
      return pendingCall.result;
    }

    private void write(long id, RelayTarget target, HttpCall call) {
      Pending pendingCall = pending.get(id);
      if (pendingCall == null) {
        return;
      }
      pendingCall.sent = true;
      pendingCall.receivedBefore = received;
      RelayChannels.send(
          opened.channel(),
          new RelayMessage.Call(
              id, target, call.method(), call.path(), call.headers(), call.body(), call.timeout()));
    }

    private void onTimeout(long id) {
      Pending timedOut = pending.remove(id);
      if (timedOut != null) {
        timedOut.fail("no answer from " + peer, !timedOut.sent);
        if (!timedOut.sent || received == timedOut.receivedBefore) {
          closeLink("the link to " + peer + " is silent");
        }
      }
    }

    @Override
    public void received(Channel channel, RelayMessage message) {
      received++;
      Pending pendingCall = pending.remove(message.id());
      if (pendingCall == null) {
        return;
      }
      if (message instanceof RelayMessage.Reply reply) {
        pendingCall.complete(new HttpReply(reply.status(), reply.headers(), reply.body()));
      } else if (message instanceof RelayMessage.Failure failure) {
        pendingCall.fail(failure.cause(), failure.unsent());
      }
    }

    @Override
    public void closed(Channel channel, String cause) {
      closeLink(cause);
    }

    private void closeLink(String cause) {
      links.remove(peer, this);
      List<Pending> unanswered = List.copyOf(pending.values());
      pending.clear();
      unanswered.forEach(each -> each.fail(cause, !each.sent));
      opened.channel().close();
    }
  }

  /** A call that has no reply yet. */
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
