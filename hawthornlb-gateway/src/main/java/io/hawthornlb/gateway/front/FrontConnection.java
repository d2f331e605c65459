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
import java.util.concurrent.TimeUnit;
import org.jspecify.annotations.Nullable;

/** A caller's connection: one request after the other. */
final class FrontConnection extends ChannelInboundHandlerAdapter {

  /** Messages of following requests that are kept while one is handled. */
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

  /**
   * Answers that have ended and of which the connection still holds a part.
   *
   * <p>Failure: a caller reads slowly while the process stops. It shows as an answer that breaks
   * off though it was complete here. Guard: the request is handled until its answer has left.
   */
  private int unsent;

  FrontConnection(FrontServer server, int headerBytes) {
    this.server = server;
    this.headerBytes = headerBytes;
  }

  boolean busy() {
    return exchange != null || head != null || unsent > 0;
  }

  void closeIfIdle() {
    if (!busy() && channel != null) {
      channel.close();
    }
  }

  /** Gives a request that is being handled its final answer, as the process ends. */
  void end() {
    Exchange active = exchange;
    if (active != null) {
      active.processEnds();
    }
  }

  void bytesCame() {
    if (!busy()) {
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
      active.callerGone();
    }
  }

  @Override
  public void channelWritabilityChanged(ChannelHandlerContext ctx) {
    if (ctx.channel().isWritable() && exchange != null) {
      exchange.drained();
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
    take((HttpObject) message);
  }

  private void take(HttpObject message) {
    try {
      DecoderResult result = message.decoderResult();
      if (result.isFailure()) {
        refuseMalformed(result.cause());
        return;
      }
      if (message instanceof HttpRequest request) {
        begin(request);
      }
      if (message instanceof HttpContent content && head != null && !closing) {
        append(content);
      }
    } finally {
      ReferenceCountUtil.release(message);
    }
  }

  private void begin(HttpRequest request) {
    head = request;
    schedule(server.limits().idleTimeout(), 408);
    if (HttpUtil.getContentLength(request, 0L) > server.limits().bodyBytes()) {
      refuseBeyondLimit(413);
    } else if (HttpUtil.is100ContinueExpected(request)) {
      HttpResponse goOn =
          new DefaultFullHttpResponse(
              HttpVersion.HTTP_1_1, HttpResponseStatus.CONTINUE, Unpooled.EMPTY_BUFFER);
      send(goOn);
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
    String uri = request.uri();
    int query = uri.indexOf('?');
    FrontRequest whole =
        new FrontRequest(
            request.method(),
            uri,
            query < 0 ? uri : uri.substring(0, query),
            request.headers().get(HttpHeaderNames.HOST, ""),
            request.headers(),
            bytes,
            server.clock().instant());
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
   * Refuses a request that is beyond a limit, for good only if the limit may be relied on.
   *
   * <p>Failure: a limit was raised, and this process or this connection still has the former one.
   * It shows as 413 or 431, by which the caller gives the request up. Guard: the caller is told to
   * come back, on another connection.
   */
  private void refuseBeyondLimit(int status) {
    ConfigCheck check = server.check();
    Instant now = server.clock().instant();
    if (status == 431 && server.limits().headerBytes() > headerBytes) {
      refuseInput(503, ConfigCheck.RETRY);
    } else if (check.holdsAt(now)) {
      refuseInput(status, null);
    } else {
      takeNoMore();
      unsent++;
      check.renew(now, () -> refuseOnceSure(status, check.holdsAt(now)));
    }
  }

  private void refuseOnceSure(int status, boolean sure) {
    unsent--;
    refuseInput(sure ? status : 503, sure ? null : ConfigCheck.RETRY);
  }

  private void refuseInput(int status, @Nullable Duration retry) {
    takeNoMore();
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

  private void takeNoMore() {
    head = null;
    dropBody();
    stopTimer();
    closing = true;
  }

  private void finished(boolean keep) {
    exchange = null;
    if (!keep) {
      closing = true;
      return;
    }
    schedule(server.limits().idleTimeout(), 0);
    while (exchange == null && !queued.isEmpty() && !closing) {
      take(queued.poll());
    }
    if (queued.size() < MAX_QUEUED) {
      open().config().setAutoRead(true);
    }
  }

  private Channel open() {
    Channel current = channel;
    if (current == null) {
      throw new IllegalStateException("The connection is not open yet");
    }
    return current;
  }

  private ChannelFuture send(HttpObject message) {
    WorkAccount.flushed(open());
    return open().writeAndFlush(message);
  }

  private void schedule(Duration time, int status) {
    stopTimer();
    timer =
        open().eventLoop().schedule(() -> timedOut(status), time.toMillis(), TimeUnit.MILLISECONDS);
  }

  private void timedOut(int status) {
    if (exchange != null) {
      return;
    }
    if (status == 0 && unsent > 0) {
      schedule(server.limits().idleTimeout(), 0);
    } else if (status == 0) {
      open().close();
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

  /** One request on this connection. */
  private final class Exchange implements Responder {

    private final boolean keepAlive;
    private RequestHandler.@Nullable Handling handling;
    private boolean answered;
    private boolean headSent;
    private boolean closeAfter;

    private Exchange(boolean keepAlive) {
      this.keepAlive = keepAlive;
    }

    private void start(FrontRequest request) {
      RequestHandler.Handling begun = server.handler().handle(request, this);
      if (exchange == this) {
        handling = begun;
      }
    }

    private void callerGone() {
      if (!answered && handling != null) {
        handling.callerGone();
      }
      answered = true;
    }

    private void drained() {
      if (handling != null) {
        handling.drained();
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
        open().close();
      }
    }

    private void processEnds() {
      if (handling != null) {
        handling.processEnds();
      }
      if (answered) {
        return;
      }
      if (headSent) {
        breakOff();
      } else {
        own(502, null);
      }
    }

    @Override
    public boolean congested() {
      return !open().isWritable();
    }

    /**
     * Ends the answer, and the connection with it if the process stops.
     *
     * <p>Failure: a stream whose head went out before the signal to stop has not told its caller to
     * close. It shows as a request that comes on the kept connection until the process ends, which
     * cuts it. Guard: what counts is the moment at which the answer ends.
     */
    private void finish(HttpObject last) {
      answered = true;
      closeAfter |= server.draining();
      unsent++;
      var written = send(last);
      written.addListener(any -> unsent--);
      if (closeAfter) {
        written.addListener(ChannelFutureListener.CLOSE);
      }
      finished(!closeAfter);
    }

    private void setConnection(HttpHeaders headers) {
      closeAfter = !keepAlive || server.draining();
      if (closeAfter) {
        headers.set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
      }
    }
  }
}
