package io.hawthornlb.gateway.relay;

import io.hawthornlb.gateway.event.EventLog;
import io.hawthornlb.gateway.http.HttpCall;
import io.hawthornlb.gateway.http.HttpCallException;
import io.hawthornlb.gateway.http.HttpCaller;
import io.hawthornlb.gateway.http.HttpReply;
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
 * Makes calls to the store for peers that do not reach it, and answers their calls about jobs.
 *
 * <p>A call is never handed on to another peer, so that calls do not go round among gateways while
 * the store is away for all, or while none of them holds a job.
 */
public final class RelayServer {

  /**
   * Calls of peers at a time; 35 of 100 peers with some ten calls each at 89 gateways come to four
   * a gateway, so that this is reached only when nearly all peers ask one.
   */
  private static final int MAX_CALLS = 256;

  /**
   * Calls about jobs at a time. Each job is read twice a second by a caller that waits up to a
   * second, so that this many jobs of one holder can be waited for at once.
   */
  private static final int MAX_JOB_CALLS = 512;

  /**
   * Bytes of answers about jobs that peers have not taken yet; above it further calls are refused.
   * A page of results is 0.9 MB at most, and an instance has some 100 MB for buffers.
   */
  private static final long MAX_WAITING_BYTES = 16L * 1024 * 1024;

  private final HttpCaller store;
  private final Supplier<InetSocketAddress> address;
  private final BooleanSupplier away;
  private final EventLog log;
  private int calls;
  private int jobCalls;
  private long waitingBytes;

  /**
   * Creates a server.
   *
   * @param store makes calls to the store itself
   * @param address where the store is now
   * @param away whether this process does not reach the store either
   * @param log decisions
   */
  public RelayServer(
      HttpCaller store, Supplier<InetSocketAddress> address, BooleanSupplier away, EventLog log) {
    this.store = store;
    this.address = address;
    this.away = away;
    this.log = log;
  }

  /**
   * Binds an address and takes links there.
   *
   * @param jobs answers calls about jobs
   */
  public void bind(EventLoopGroup loop, InetSocketAddress at, HttpCaller jobs) {
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
            })
        .bind(at)
        .syncUninterruptibly();
  }

  /** One peer's link. */
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
        answerAboutJob(channel, call);
      } else if (away.getAsBoolean()) {
        refuse(channel, call, "this gateway does not reach the store either");
      } else if (calls >= MAX_CALLS) {
        refuse(channel, call, "this gateway makes enough calls for others");
      } else {
        make(channel, call);
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

    private void answerAboutJob(Channel channel, RelayMessage.Call call) {
      if (jobCalls >= MAX_JOB_CALLS || waitingBytes > MAX_WAITING_BYTES) {
        refuse(channel, call, "this gateway answers enough calls about jobs");
        return;
      }
      // Counted once the call is made: what makes none would be counted for ever.
      CompletionStage<HttpReply> made = jobs.call(whole(call));
      jobCalls++;
      made.whenComplete(
          (reply, failure) -> {
            jobCalls--;
            long bytes = reply == null ? 0 : reply.body().length;
            waitingBytes += bytes;
            RelayChannels.send(channel, answer(call.id(), reply, failure))
                .addListener(written -> waitingBytes -= bytes);
          });
    }

    private HttpCall whole(RelayMessage.Call call) {
      return new HttpCall(
          address.get(), call.method(), call.path(), call.headers(), call.body(), call.timeout());
    }

    private void make(Channel channel, RelayMessage.Call call) {
      CompletionStage<HttpReply> made = store.call(whole(call));
      calls++;
      made.whenComplete(
          (reply, failure) -> {
            calls--;
            RelayChannels.send(channel, answer(call.id(), reply, failure));
          });
    }

    private static RelayMessage answer(
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
