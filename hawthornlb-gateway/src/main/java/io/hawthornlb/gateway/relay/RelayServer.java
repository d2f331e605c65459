package io.hawthornlb.gateway.relay;

import io.hawthornlb.gateway.event.EventLog;
import io.hawthornlb.gateway.http.HttpCall;
import io.hawthornlb.gateway.http.HttpCallException;
import io.hawthornlb.gateway.http.HttpCaller;
import io.hawthornlb.gateway.http.HttpReply;
import io.hawthornlb.gateway.loop.Listening;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import java.net.InetSocketAddress;
import java.util.concurrent.CompletionException;
import java.util.concurrent.CompletionStage;
import java.util.function.BooleanSupplier;
import java.util.function.Supplier;
import org.jspecify.annotations.Nullable;

/**
 * Calls the store for peers that cannot reach it, and answers peers' calls about jobs.
 *
 * <p>The server never forwards a call to another peer, so that calls do not circulate among
 * gateways while the store is unavailable to all, or while none of them holds a job.
 */
public final class RelayServer {

  /**
   * Maximum number of concurrent store calls for peers. If 35 of 100 peers make some ten calls each
   * through 89 gateways, this comes to four calls per gateway. The limit is therefore reached only
   * when nearly all peers call one gateway.
   */
  private static final int MAX_CALLS = 256;

  /**
   * Maximum number of concurrent calls about jobs. Each job is read twice a second by a caller that
   * waits up to a second, so callers can wait for this many jobs of one holder at the same time.
   */
  private static final int MAX_JOB_CALLS = 512;

  /**
   * Limit of the bytes of replies about jobs that are not written to the sockets; above it further
   * calls are refused. A page of results has at most 0.9 MB, and an instance has some 100 MB for
   * buffers.
   */
  private static final long MAX_UNSENT_BYTES = 16L * 1024 * 1024;

  private final HttpCaller store;
  private final Supplier<InetSocketAddress> address;
  private final BooleanSupplier unavailable;
  private final EventLog log;
  private int calls;
  private int jobCalls;
  private long unsentBytes;

  /**
   * Creates a server.
   *
   * @param store calls the store directly
   * @param address supplies the store's current address
   * @param unavailable whether this process cannot reach the store either
   * @param log log of decisions
   */
  public RelayServer(
      HttpCaller store,
      Supplier<InetSocketAddress> address,
      BooleanSupplier unavailable,
      EventLog log) {
    this.store = store;
    this.address = address;
    this.unavailable = unavailable;
    this.log = log;
  }

  /**
   * Binds an address and accepts links there.
   *
   * @param jobs answers calls about jobs
   */
  public void bind(EventLoopGroup loop, InetSocketAddress at, HttpCaller jobs) {
    ServerBootstrap server =
        new ServerBootstrap()
            .group(loop)
            .channelFactory(NioServerSocketChannel::new)
            .option(ChannelOption.SO_REUSEADDR, true)
            .childOption(ChannelOption.TCP_NODELAY, true)
            .childHandler(
                new ChannelInitializer<Channel>() {
                  @Override
                  protected void initChannel(Channel channel) {
                    RelayChannels.setUp(channel, new Peer(jobs));
                  }
                });
    Listening.await(server.bind(at), at, "links of other instances");
  }

  /** Link of one peer. */
  private final class Peer implements RelayChannels.Receiver {

    private final HttpCaller jobs;

    private Peer(HttpCaller jobs) {
      this.jobs = jobs;
    }

    @Override
    public void received(Channel channel, RelayMessage message) {
      if (!(message instanceof RelayMessage.Call call)) {
        channel.close();
      } else if (call.target() == RelayTarget.JOBS) {
        handleJobCall(channel, call);
      } else if (unavailable.getAsBoolean()) {
        refuse(channel, call, "this gateway does not reach the store either");
      } else if (calls >= MAX_CALLS) {
        refuse(channel, call, "this gateway makes enough calls for others");
      } else {
        callStore(channel, call);
      }
    }

    @Override
    public void closed(Channel channel, String cause) {
      log.routine("relay", "link.closed").with("cause", cause).write();
    }

    private void refuse(Channel channel, RelayMessage.Call call, String cause) {
      log.routine("relay", "call.refused").with("cause", cause).write();
      RelayChannels.send(channel, new RelayMessage.Failure(call.id(), true, cause));
    }

    private void handleJobCall(Channel channel, RelayMessage.Call call) {
      if (jobCalls >= MAX_JOB_CALLS || unsentBytes > MAX_UNSENT_BYTES) {
        refuse(channel, call, "this gateway answers enough calls about jobs");
        return;
      }
      // The call is counted only after it was made. A call that throws would otherwise stay counted
      // forever.
      CompletionStage<HttpReply> reply = jobs.call(toHttpCall(call));
      jobCalls++;
      reply.whenComplete(
          (received, failure) -> {
            jobCalls--;
            long bytes = received == null ? 0 : received.body().length;
            unsentBytes += bytes;
            RelayChannels.send(channel, toMessage(call.id(), received, failure))
                .addListener(written -> unsentBytes -= bytes);
          });
    }

    private HttpCall toHttpCall(RelayMessage.Call call) {
      return new HttpCall(
          address.get(), call.method(), call.path(), call.headers(), call.body(), call.timeout());
    }

    private void callStore(Channel channel, RelayMessage.Call call) {
      CompletionStage<HttpReply> reply = store.call(toHttpCall(call));
      calls++;
      reply.whenComplete(
          (received, failure) -> {
            calls--;
            RelayChannels.send(channel, toMessage(call.id(), received, failure));
          });
    }

    private static RelayMessage toMessage(
        long id, @Nullable HttpReply reply, @Nullable Throwable failure) {
      if (reply != null) {
        return new RelayMessage.Reply(id, reply.status(), reply.headers(), reply.body());
      }
      Throwable cause = failure instanceof CompletionException ? failure.getCause() : failure;
      boolean unsent = cause instanceof HttpCallException call && call.unsent();
      return new RelayMessage.Failure(id, unsent, String.valueOf(cause));
    }
  }
}
