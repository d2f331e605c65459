package io.hawthornlb.gateway.front;

import io.hawthornlb.gateway.loop.WorkAccount;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.handler.codec.DecoderResult;
import io.netty.handler.codec.TooLongFrameException;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.DefaultHttpResponse;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import io.netty.util.concurrent.ScheduledFuture;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.OptionalInt;
import java.util.concurrent.TimeUnit;
import org.jspecify.annotations.Nullable;

/** A caller's connection, which handles one request at a time. */
final class FrontConnection extends ChannelInboundHandlerAdapter {

  /** Messages of pipelined requests that are queued while a request is being handled. */
  private static final int MAX_QUEUED = 64;

  private final FrontServer server;
  private final int headerBytes;
  private final Deque<HttpObject> queued = new ArrayDeque<>();
  private @Nullable Channel channel;
  private @Nullable HttpRequest head;
  private @Nullable ByteBuf body;
  private @Nullable Exchange exchange;
  private @Nullable ScheduledFuture<?> timer;
  private boolean closing;

  /** Whether the body that arrives belongs to a request that was refused by its head. */
  private boolean discarding;

  /**
   * Completed responses that are not yet fully written to the socket, and refusals that wait for
   * the configuration to be read.
   *
   * <p>A caller may read slowly while the process stops. Closing the connection at that point would
   * truncate a response that is complete in this process. A request therefore counts as being
   * handled until its response has been written.
   */
  private int pendingResponses;

  FrontConnection(FrontServer server, int headerBytes) {
    this.server = server;
    this.headerBytes = headerBytes;
  }

  boolean isBusy() {
    return exchange != null || head != null || pendingResponses > 0;
  }

  void closeIfIdle() {
    if (!isBusy() && channel != null) {
      channel.close();
    }
  }

  /**
   * Ends the request that is being handled with a final response, because the process shuts down.
   */
  void shutDown() {
    Exchange active = exchange;
    if (active != null) {
      active.onShutdown();
    }
  }

  void onBytesRead() {
    if (!isBusy()) {
      schedule(server.limits().headerTimeout(), 408);
    }
  }

  @Override
  public void channelActive(ChannelHandlerContext ctx) {
    channel = ctx.channel();
    server.opened(this);
    schedule(server.limits().idleTimeout(), 0);
  }

  @Override
  public void channelInactive(ChannelHandlerContext ctx) {
    server.closed(this);
    stopTimer();
    dropBody();
    queued.forEach(ReferenceCountUtil::release);
    queued.clear();
    Exchange active = exchange;
    exchange = null;
    if (active != null) {
      active.onCallerDisconnected();
    }
  }

  @Override
  public void channelWritabilityChanged(ChannelHandlerContext ctx) {
    if (ctx.channel().isWritable() && exchange != null) {
      exchange.onWritable();
    }
  }

  @Override
  public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
    server.log().routine("front", "connection.failed").with("cause", cause.toString()).write();
    ctx.close();
  }

  @Override
  public void channelRead(ChannelHandlerContext ctx, Object message) {
    if (closing) {
      ReferenceCountUtil.release(message);
      return;
    }
    if (exchange != null) {
      queued.add((HttpObject) message);
      if (queued.size() >= MAX_QUEUED) {
        ctx.channel().config().setAutoRead(false);
      }
      return;
    }
    process((HttpObject) message);
  }

  private void process(HttpObject message) {
    try {
      DecoderResult result = message.decoderResult();
      if (result.isFailure()) {
        refuseMalformed(result.cause());
        return;
      }
      if (message instanceof HttpRequest request) {
        begin(request);
      }
      if (message instanceof HttpContent content && !closing) {
        onContent(content);
      }
    } finally {
      ReferenceCountUtil.release(message);
    }
  }

  private OptionalInt refusalOf(HttpRequest request) {
    FrontRequest withoutBody = FrontRequest.of(request, new byte[0], server.clock().instant());
    return server.handler().refusalOf(withoutBody);
  }

  private void onContent(HttpContent content) {
    if (head != null) {
      append(content);
    } else if (discarding && content instanceof LastHttpContent) {
      discarding = false;
      schedule(server.limits().idleTimeout(), 0);
    }
  }

  private void begin(HttpRequest request) {
    // Closing a connection whose body is still arriving would reset it before the response is read.
    boolean staysOpen = HttpUtil.isKeepAlive(request) && !server.draining();
    OptionalInt refusal = staysOpen ? refusalOf(request) : OptionalInt.empty();
    if (refusal.isPresent()) {
      discarding = true;
      Exchange refused = new Exchange(true);
      exchange = refused;
      schedule(server.limits().idleTimeout(), 408);
      refused.sendStatus(refusal.getAsInt(), null);
      return;
    }
    head = request;
    schedule(server.limits().idleTimeout(), 408);
    if (HttpUtil.getContentLength(request, 0L) > server.limits().bodyBytes()) {
      refuseBeyondLimit(413);
    } else if (HttpUtil.is100ContinueExpected(request)) {
      HttpResponse continueResponse =
          new DefaultFullHttpResponse(
              HttpVersion.HTTP_1_1, HttpResponseStatus.CONTINUE, Unpooled.EMPTY_BUFFER);
      send(continueResponse);
    }
  }

  private void append(HttpContent content) {
    if (content.content().isReadable()) {
      if (body == null) {
        body = Unpooled.buffer(content.content().readableBytes());
      }
      body.writeBytes(content.content());
      if (body.readableBytes() > server.limits().bodyBytes()) {
        refuseBeyondLimit(413);
        return;
      }
    }
    if (content instanceof LastHttpContent) {
      dispatch();
    }
  }

  private void dispatch() {
    stopTimer();
    HttpRequest request = head;
    if (request == null) {
      return;
    }
    byte[] bytes = body == null ? new byte[0] : ByteBufUtil.getBytes(body);
    head = null;
    dropBody();
    FrontRequest whole = FrontRequest.of(request, bytes, server.clock().instant());
    Exchange next = new Exchange(HttpUtil.isKeepAlive(request));
    exchange = next;
    next.start(whole);
  }

  private void refuseMalformed(Throwable cause) {
    if (cause instanceof TooLongFrameException) {
      refuseBeyondLimit(431);
    } else {
      refuseInput(400, null);
    }
  }

  /**
   * Refuses a request that exceeds a limit, permanently only if the limit is known to be current.
   *
   * <p>A limit may have been raised while this process or this connection still has the former
   * value. A 413 or 431 would make the caller give the request up. In that case the caller gets a
   * 503 and retries on another connection.
   */
  private void refuseBeyondLimit(int status) {
    ConfigFreshness check = server.check();
    Instant now = server.clock().instant();
    if (status == 431 && server.limits().headerBytes() > headerBytes) {
      refuseInput(503, ConfigFreshness.RETRY);
    } else if (check.isCurrentAt(now)) {
      refuseInput(status, null);
    } else {
      stopReading();
      pendingResponses++;
      check.refreshFor(now, () -> refuseOnceSure(status, check.isCurrentAt(now)));
    }
  }

  private void refuseOnceSure(int status, boolean sure) {
    pendingResponses--;
    refuseInput(sure ? status : 503, sure ? null : ConfigFreshness.RETRY);
  }

  private void refuseInput(int status, @Nullable Duration retry) {
    stopReading();
    server.log().important("front", "input.refused").with("status", status).write();
    HttpResponse answer =
        new DefaultFullHttpResponse(
            HttpVersion.HTTP_1_1, HttpResponseStatus.valueOf(status), Unpooled.EMPTY_BUFFER);
    answer.headers().set(HttpHeaderNames.CONTENT_LENGTH, 0);
    answer.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
    if (retry != null) {
      answer.headers().set(HttpHeaderNames.RETRY_AFTER, Responder.seconds(retry));
    }
    send(answer).addListener(ChannelFutureListener.CLOSE);
  }

  private void stopReading() {
    head = null;
    dropBody();
    stopTimer();
    closing = true;
  }

  private void onResponseEnded(boolean keep) {
    exchange = null;
    if (!keep) {
      closing = true;
      return;
    }
    schedule(server.limits().idleTimeout(), 0);
    while (exchange == null && !queued.isEmpty() && !closing) {
      process(queued.poll());
    }
    if (queued.size() < MAX_QUEUED) {
      openChannel().config().setAutoRead(true);
    }
  }

  private Channel openChannel() {
    Channel current = channel;
    if (current == null) {
      throw new IllegalStateException("the connection is not open yet");
    }
    return current;
  }

  private ChannelFuture send(HttpObject message) {
    WorkAccount.flushed(openChannel());
    return openChannel().writeAndFlush(message);
  }

  private void schedule(Duration time, int status) {
    stopTimer();
    timer =
        openChannel()
            .eventLoop()
            .schedule(() -> onTimeout(status), time.toMillis(), TimeUnit.MILLISECONDS);
  }

  private void onTimeout(int status) {
    if (exchange != null) {
      return;
    }
    if (status == 0 && pendingResponses > 0) {
      schedule(server.limits().idleTimeout(), 0);
    } else if (status == 0) {
      openChannel().close();
    } else {
      refuseInput(status, null);
    }
  }

  private void stopTimer() {
    if (timer != null) {
      timer.cancel(false);
      timer = null;
    }
  }

  private void dropBody() {
    if (body != null) {
      body.release();
      body = null;
    }
  }

  /** One request on this connection and its response. */
  private final class Exchange implements Responder {

    private final boolean keepAlive;
    private RequestHandler.@Nullable Handling handling;
    private boolean answered;
    private boolean headSent;
    private boolean closeAfterwards;

    private Exchange(boolean keepAlive) {
      this.keepAlive = keepAlive;
    }

    private void start(FrontRequest request) {
      RequestHandler.Handling started = server.handler().handle(request, this);
      if (exchange == this) {
        handling = started;
      }
    }

    private void onCallerDisconnected() {
      if (!answered && handling != null) {
        handling.onCallerDisconnected();
      }
      answered = true;
    }

    private void onWritable() {
      if (handling != null) {
        handling.onWritable();
      }
    }

    @Override
    public void whole(int status, HttpHeaders headers, byte[] bytes) {
      if (answered || exchange != this) {
        return;
      }
      DefaultFullHttpResponse response =
          new DefaultFullHttpResponse(
              HttpVersion.HTTP_1_1,
              HttpResponseStatus.valueOf(status),
              Unpooled.wrappedBuffer(bytes),
              headers.copy(),
              new DefaultHttpHeaders());
      response.headers().set(HttpHeaderNames.CONTENT_LENGTH, bytes.length);
      setConnection(response.headers());
      finish(response);
    }

    @Override
    public void head(int status, HttpHeaders headers) {
      if (answered || exchange != this) {
        return;
      }
      HttpResponse response =
          new DefaultHttpResponse(
              HttpVersion.HTTP_1_1, HttpResponseStatus.valueOf(status), headers.copy());
      if (!HttpUtil.isContentLengthSet(response)) {
        HttpUtil.setTransferEncodingChunked(response, true);
      }
      setConnection(response.headers());
      headSent = true;
      send(response);
    }

    @Override
    public void part(ByteBuf content) {
      if (answered || exchange != this) {
        content.release();
        return;
      }
      send(new DefaultHttpContent(content));
    }

    @Override
    public void end() {
      if (!answered && exchange == this) {
        finish(LastHttpContent.EMPTY_LAST_CONTENT);
      }
    }

    @Override
    public void breakOff() {
      if (!answered && exchange == this) {
        answered = true;
        closing = true;
        exchange = null;
        openChannel().close();
      }
    }

    private void onShutdown() {
      if (handling != null) {
        handling.onShutdown();
      }
      if (answered) {
        return;
      }
      if (headSent) {
        breakOff();
      } else {
        sendStatus(502, null);
      }
    }

    @Override
    public boolean congested() {
      return !openChannel().isWritable();
    }

    /**
     * Ends the response, and closes the connection after it if the process stops.
     *
     * <p>The head of a stream that was sent before the stop signal did not contain "Connection:
     * close". The caller could then send its next request on the same connection, and the end of
     * the process would cut that request off. The decision to close is therefore made when the
     * response ends.
     */
    private void finish(HttpObject last) {
      answered = true;
      closeAfterwards |= server.draining();
      pendingResponses++;
      var written = send(last);
      written.addListener(any -> pendingResponses--);
      if (closeAfterwards) {
        written.addListener(ChannelFutureListener.CLOSE);
      }
      onResponseEnded(!closeAfterwards);
    }

    private void setConnection(HttpHeaders headers) {
      closeAfterwards = !keepAlive || server.draining();
      if (closeAfterwards) {
        headers.set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
      }
    }
  }
}
