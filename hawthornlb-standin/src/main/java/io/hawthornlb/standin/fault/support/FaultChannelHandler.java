package io.hawthornlb.standin.fault.support;

import io.hawthornlb.standin.fault.ActiveFaults;
import io.hawthornlb.standin.fault.Fault;
import io.hawthornlb.standin.fault.FaultKind;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelDuplexHandler;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelPromise;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.Optional;
import java.util.Queue;
import java.util.concurrent.TimeUnit;

/**
 * Applies the active faults to one connection.
 *
 * <p>Requests to the control paths of the stand-in are exempt, so that a fault can always be ended.
 */
final class FaultChannelHandler extends ChannelDuplexHandler {

  private static final String CONTROL_PATHS = "/standin/";
  private static final int MAX_SEARCHED_BODY_CHARS = 1 << 20;

  private final ActiveFaults faults;
  private final Queue<Object> delayed = new ArrayDeque<>();
  private final StringBuilder body = new StringBuilder();
  private final AnswerCopy copy = new AnswerCopy();
  private long connection;
  private boolean controlRequest;
  private boolean answeringUnavailable;
  private boolean droppingResponse;
  private boolean crashingAnswer;
  private boolean delaying;

  FaultChannelHandler(ActiveFaults faults) {
    this.faults = faults;
    this.connection = faults.nextConnection();
  }

  @Override
  public void channelRead(ChannelHandlerContext ctx, Object message) {
    if (message instanceof HttpRequest request) {
      startRequest(ctx, request);
    }
    if (isSilenced() || !ctx.channel().isActive()) {
      ReferenceCountUtil.release(message);
      // A silenced connection stays open: the handler keeps reading and discards the data.
      ctx.read();
      return;
    }
    note(message);
    if (completes(message, FaultKind.CRASH_ON)) {
      ReferenceCountUtil.release(message);
      faults.crash();
      ctx.close();
      return;
    }
    crashingAnswer |= completes(message, FaultKind.CRASH_WRITING);
    if (answeringUnavailable) {
      discardAndAnswer(ctx, message);
    } else if (delaying) {
      delayed.add(message);
      ctx.read();
    } else {
      ctx.fireChannelRead(message);
    }
  }

  @Override
  public void channelReadComplete(ChannelHandlerContext ctx) {
    if (!delaying) {
      ctx.fireChannelReadComplete();
    }
  }

  @Override
  public void write(ChannelHandlerContext ctx, Object message, ChannelPromise promise) {
    if (controlRequest) {
      // A connection that sends a control request gets a new number. A SILENT fault therefore does
      // not silence the connection that activates it.
      connection = faults.nextConnection();
    }
    if (crashingAnswer && message instanceof HttpResponse) {
      ReferenceCountUtil.release(message);
      promise.tryFailure(new java.nio.channels.ClosedChannelException());
      faults.crash();
      ctx.close();
    } else if (isSilenced()) {
      ReferenceCountUtil.release(message);
      promise.trySuccess();
    } else if (droppingResponse && message instanceof HttpResponse) {
      ReferenceCountUtil.release(message);
      promise.tryFailure(new java.nio.channels.ClosedChannelException());
      ctx.close();
    } else {
      repeat(ctx, message);
      ctx.write(message, promise);
    }
  }

  /** Sends the copy of the former answer before an answer, and keeps a copy of this one. */
  private void repeat(ChannelHandlerContext ctx, Object message) {
    if (controlRequest || !faults.active(FaultKind.LATE_COPY)) {
      copy.clear();
      return;
    }
    if (message instanceof HttpResponse) {
      copy.send(ctx);
    }
    copy.add(message);
  }

  @Override
  public void close(ChannelHandlerContext ctx, ChannelPromise promise) {
    // A silenced connection emulates one that an intermediary has dropped without notice, so the
    // caller must not receive an end of stream either.
    if (!isSilenced()) {
      ctx.close(promise);
    }
  }

  @Override
  public void channelInactive(ChannelHandlerContext ctx) {
    delayed.forEach(ReferenceCountUtil::release);
    delayed.clear();
    copy.clear();
    ctx.fireChannelInactive();
  }

  private void startRequest(ChannelHandlerContext ctx, HttpRequest request) {
    controlRequest = request.uri().startsWith(CONTROL_PATHS);
    body.setLength(0);
    answeringUnavailable = false;
    droppingResponse = false;
    crashingAnswer = false;
    if (controlRequest || isSilenced()) {
      return;
    }
    String line = request.method() + " " + request.uri();
    if (faults.findMatching(FaultKind.REFUSE, line).isPresent()) {
      ctx.close();
      return;
    }
    answeringUnavailable = faults.findMatching(FaultKind.DOWN, line).isPresent();
    droppingResponse = faults.findMatching(FaultKind.LOSE_ANSWER, line).isPresent();
    Optional<Fault> slow = faults.findMatching(FaultKind.SLOW, line);
    if (slow.isPresent()) {
      delaying = true;
      ctx.executor().schedule(() -> release(ctx), slow.get().value(), TimeUnit.MILLISECONDS);
    }
  }

  private void release(ChannelHandlerContext ctx) {
    delaying = false;
    while (!delayed.isEmpty()) {
      ctx.fireChannelRead(delayed.remove());
    }
    ctx.fireChannelReadComplete();
  }

  /** Keeps the body of a request while a fault depends on it. */
  private void note(Object message) {
    boolean needed = faults.active(FaultKind.CRASH_ON) || faults.active(FaultKind.CRASH_WRITING);
    if (needed
        && message instanceof HttpContent content
        && body.length() < MAX_SEARCHED_BODY_CHARS) {
      body.append(content.content().toString(StandardCharsets.UTF_8));
    }
  }

  /** Returns whether a message completes a request whose body a fault of this kind matches. */
  private boolean completes(Object message, FaultKind kind) {
    return !controlRequest
        && message instanceof LastHttpContent
        && faults.findMatching(kind, body.toString()).isPresent();
  }

  private void discardAndAnswer(ChannelHandlerContext ctx, Object message) {
    boolean last = message instanceof LastHttpContent;
    ReferenceCountUtil.release(message);
    if (last) {
      answeringUnavailable = false;
      FullHttpResponse answer =
          new DefaultFullHttpResponse(
              HttpVersion.HTTP_1_1, HttpResponseStatus.SERVICE_UNAVAILABLE, Unpooled.EMPTY_BUFFER);
      answer.headers().set(HttpHeaderNames.CONTENT_LENGTH, 0);
      ctx.writeAndFlush(answer);
    }
    ctx.read();
  }

  private boolean isSilenced() {
    return faults.isSilenced(connection);
  }
}
