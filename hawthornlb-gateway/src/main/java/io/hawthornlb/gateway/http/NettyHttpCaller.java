package io.hawthornlb.gateway.http;

import io.hawthornlb.gateway.loop.WorkAccount;
import io.hawthornlb.gateway.loop.WorkKind;
import io.hawthornlb.http.BrokenResponseException;
import io.hawthornlb.http.ResponseFault;
import io.hawthornlb.http.support.GrammarScanner;
import io.hawthornlb.http.support.ResponseGuard;
import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpClientCodec;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.util.concurrent.ScheduledFuture;
import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.TimeUnit;
import org.jspecify.annotations.Nullable;

/**
 * HTTP client with pooled connections on one event loop.
 *
 * <p>A connection may go silent permanently while new connections work, and calls on it would time
 * out one after the other. When a call times out, the caller closes its connection and all idle
 * connections to the same address, because they are likely silent as well.
 */
public final class NettyHttpCaller implements HttpCaller {

  /** Size limit of a reply in bytes; pages of the log are at most 1 MiB, in base64 1.4 MiB. */
  private static final int MAX_REPLY_BYTES = 8 * 1024 * 1024;

  /** Timeout for opening a connection; an instance without power does not answer at all. */
  private static final int CONNECT_MILLIS = 1_000;

  private final EventLoop loop;
  private final Bootstrap bootstrap;
  private final Map<InetSocketAddress, Deque<Channel>> idle = new HashMap<>();

  /** Creates a caller that does all its work on the event loop. */
  public NettyHttpCaller(EventLoop loop) {
    this.loop = loop;
    this.bootstrap =
        new Bootstrap()
            .group(loop)
            .channelFactory(NioSocketChannel::new)
            .option(ChannelOption.TCP_NODELAY, true)
            .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_MILLIS)
            .handler(new Pipeline());
  }

  @Override
  public CompletionStage<HttpReply> call(HttpCall call) {
    Pending pending = new Pending(call);
    if (loop.inEventLoop()) {
      pending.start();
    } else {
      loop.execute(pending::start);
    }
    return pending.result;
  }

  private @Nullable Channel takeIdle(InetSocketAddress address) {
    Deque<Channel> channels = idle.get(address);
    while (channels != null && !channels.isEmpty()) {
      Channel channel = channels.pop();
      if (channel.isActive()) {
        return channel;
      }
    }
    return null;
  }

  private void closeIdle(InetSocketAddress address) {
    Deque<Channel> channels = idle.remove(address);
    if (channels != null) {
      channels.forEach(Channel::close);
    }
  }

  /** A call that is in progress. */
  private final class Pending {

    private final HttpCall call;
    private final CompletableFuture<HttpReply> result = new CompletableFuture<>();
    private @Nullable ScheduledFuture<?> timer;
    private @Nullable Channel channel;
    private @Nullable ChannelFuture writeFuture;
    private boolean written;

    private Pending(HttpCall call) {
      this.call = call;
    }

    private void start() {
      timer = loop.schedule(this::onTimeout, call.timeout().toMillis(), TimeUnit.MILLISECONDS);
      Channel idleChannel = takeIdle(call.address());
      if (idleChannel != null) {
        write(idleChannel);
        return;
      }
      bootstrap
          .connect(call.address())
          .addListener(
              (io.netty.channel.ChannelFutureListener)
                  connected -> {
                    if (!connected.isSuccess()) {
                      fail("No connection to " + call.address() + ": " + connected.cause());
                    } else if (result.isDone()) {
                      connected.channel().close();
                    } else {
                      write(connected.channel());
                    }
                  });
    }

    private void write(Channel to) {
      channel = to;
      to.pipeline().get(ReplyHandler.class).pending = this;
      DefaultFullHttpRequest request =
          new DefaultFullHttpRequest(
              HttpVersion.HTTP_1_1,
              HttpMethod.valueOf(call.method()),
              call.path(),
              Unpooled.wrappedBuffer(call.body()));
      InetSocketAddress address = call.address();
      String host = address.getAddress().getHostAddress() + ":" + address.getPort();
      request.headers().set(HttpHeaderNames.HOST, host);
      call.headers().forEach(request.headers()::set);
      HttpUtil.setContentLength(request, call.body().length);
      written = true;
      writeFuture = to.writeAndFlush(request);
    }

    private void onTimeout() {
      closeIdle(call.address());
      fail("No reply from " + call.address() + " within " + call.timeout());
      if (channel != null) {
        channel.close();
      }
    }

    private void fail(String message) {
      stopTimer();
      result.completeExceptionally(new HttpCallException(message, !written));
    }

    private void failBroken(ResponseFault fault) {
      if (fault.endedEarly()) {
        failClosed("The connection closed before a whole reply: " + fault.label());
      } else {
        fail("The reply is broken: " + fault.label());
      }
    }

    private void failClosed(String message) {
      stopTimer();
      result.completeExceptionally(HttpCallException.connectionClosed(message));
    }

    private void onReply(HttpReply reply, boolean reusable) {
      stopTimer();
      Channel used = channel;
      boolean fullyWritten = writeFuture != null && writeFuture.isSuccess();
      if (used != null && reusable && fullyWritten) {
        idle.computeIfAbsent(call.address(), any -> new ArrayDeque<>()).push(used);
      } else if (used != null) {
        used.close();
      }
      result.complete(reply);
    }

    private void stopTimer() {
      if (timer != null) {
        timer.cancel(false);
      }
    }
  }

  /**
   * Passes replies to the call that waits on a connection.
   *
   * <p>A server may send a second reply directly after the reply to a call, while the caller
   * already sends its next call. An append would then count as written or refused because of the
   * reply to another call. The handler therefore completes a call only after all data received
   * together has been processed, and does not reuse a connection that received more than one reply
   * to a call.
   */
  private static final class ReplyHandler extends SimpleChannelInboundHandler<FullHttpResponse> {

    private @Nullable Pending pending;
    private @Nullable HttpReply reply;
    private boolean reusable = true;
    private String cause = "";

    @Override
    protected void channelRead0(ChannelHandlerContext ctx, FullHttpResponse response) {
      WorkAccount.noteKind(ctx.channel(), WorkKind.STORE);
      boolean interim = response.status().codeClass() == HttpStatusClass.INFORMATIONAL;
      Pending waiting = pending;
      if (waiting == null) {
        ctx.close();
      } else if (reply != null) {
        reusable = false;
      } else if (!response.decoderResult().isSuccess()) {
        pending = null;
        ctx.close();
        waiting.fail("The reply is not HTTP");
      } else if (!interim) {
        // An interim reply only announces the final one.
        reply = new HttpReply(response.status().code(), ByteBufUtil.getBytes(response.content()));
        reusable = HttpUtil.isKeepAlive(response);
      }
    }

    @Override
    public void channelReadComplete(ChannelHandlerContext ctx) {
      Pending answered = pending;
      HttpReply whole = reply;
      if (answered != null && whole != null) {
        pending = null;
        reply = null;
        answered.onReply(whole, reusable);
      }
      ctx.fireChannelReadComplete();
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) {
      Pending waiting = pending;
      pending = null;
      if (waiting != null) {
        waiting.failClosed("The connection closed before a whole reply" + cause);
      }
      ctx.fireChannelInactive();
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable failure) {
      if (failure instanceof BrokenResponseException broken) {
        onBroken(ctx, broken);
        return;
      }
      // channelInactive follows and fails the call with this cause.
      cause = ": " + failure;
      ctx.close();
    }

    private void onBroken(ChannelHandlerContext ctx, BrokenResponseException broken) {
      Pending waiting = pending;
      if (reply != null) {
        // What follows a whole reply does not change it.
        reusable = false;
      } else if (waiting != null) {
        pending = null;
        ctx.close();
        waiting.failBroken(broken.fault());
      }
    }
  }

  /** Sets up the channel pipeline of a connection. */
  private static final class Pipeline extends ChannelInitializer<Channel> {

    @Override
    protected void initChannel(Channel channel) {
      channel.pipeline().addLast(new ResponseGuard(new GrammarScanner(() -> false)));
      channel.pipeline().addLast(new HttpClientCodec());
      channel.pipeline().addLast(new HttpObjectAggregator(MAX_REPLY_BYTES));
      channel.pipeline().addLast(new ReplyHandler());
    }
  }
}
