package io.hawthornlb.standin.fault.support;

import io.hawthornlb.standin.fault.Fault;
import io.hawthornlb.standin.fault.FaultBoard;
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
 * Brings the faults about on one connection.
 *
 * <p>The paths of the stand-in's own controls are exempt, so that a fault can always be ended.
 */
final class FaultChannelHandler extends ChannelDuplexHandler {

  private static final String CONTROL_PATHS = "/standin/";
  private static final int LONGEST_BODY_SEARCHED = 1 << 20;

  private final FaultBoard faults;
  private final Queue<Object> held = new ArrayDeque<>();
  private final StringBuilder body = new StringBuilder();
  private long connection;
  private boolean control;
  private boolean answeringDown;
  private boolean losingAnswer;
  private boolean holding;

  FaultChannelHandler(FaultBoard faults) {
    this.faults = faults;
    this.connection = faults.nextConnection();
  }

  @Override
  public void channelRead(ChannelHandlerContext ctx, Object message) {
    if (message instanceof HttpRequest request) {
      startRequest(ctx, request);
    }
    if (silent() || !ctx.channel().isActive()) {
      ReferenceCountUtil.release(message);
      // The connection counts as open: it reads on and lets all it reads fall.
      ctx.read();
      return;
    }
    if (crashes(message)) {
      ReferenceCountUtil.release(message);
      faults.crash();
      ctx.close();
      return;
    }
    if (answeringDown) {
      swallow(ctx, message);
    } else if (holding) {
      held.add(message);
      ctx.read();
    } else {
      ctx.fireChannelRead(message);
    }
  }

  @Override
  public void channelReadComplete(ChannelHandlerContext ctx) {
    if (!holding) {
      ctx.fireChannelReadComplete();
    }
  }

  @Override
  public void write(ChannelHandlerContext ctx, Object message, ChannelPromise promise) {
    if (control) {
      // The connection that orders a silence is not silenced by it.
      connection = faults.nextConnection();
    }
    if (silent()) {
      ReferenceCountUtil.release(message);
      promise.trySuccess();
    } else if (losingAnswer && message instanceof HttpResponse) {
      ReferenceCountUtil.release(message);
      promise.tryFailure(new java.nio.channels.ClosedChannelException());
      ctx.close();
    } else {
      ctx.write(message, promise);
    }
  }

  @Override
  public void close(ChannelHandlerContext ctx, ChannelPromise promise) {
    // A connection that something between the ends has lost brings no end of stream either.
    if (!silent()) {
      ctx.close(promise);
    }
  }

  @Override
  public void channelInactive(ChannelHandlerContext ctx) {
    held.forEach(ReferenceCountUtil::release);
    held.clear();
    ctx.fireChannelInactive();
  }

  private void startRequest(ChannelHandlerContext ctx, HttpRequest request) {
    control = request.uri().startsWith(CONTROL_PATHS);
    body.setLength(0);
    answeringDown = false;
    losingAnswer = false;
    if (control || silent()) {
      return;
    }
    String line = request.method() + " " + request.uri();
    if (faults.hitting(FaultKind.REFUSE, line).isPresent()) {
      ctx.close();
      return;
    }
    answeringDown = faults.hitting(FaultKind.DOWN, line).isPresent();
    losingAnswer = faults.hitting(FaultKind.LOSE_ANSWER, line).isPresent();
    Optional<Fault> slow = faults.hitting(FaultKind.SLOW, line);
    if (slow.isPresent()) {
      holding = true;
      ctx.executor().schedule(() -> release(ctx), slow.get().value(), TimeUnit.MILLISECONDS);
    }
  }

  private void release(ChannelHandlerContext ctx) {
    holding = false;
    while (!held.isEmpty()) {
      ctx.fireChannelRead(held.remove());
    }
    ctx.fireChannelReadComplete();
  }

  private boolean crashes(Object message) {
    if (control || !faults.active(FaultKind.CRASH_ON)) {
      return false;
    }
    if (message instanceof HttpContent content && body.length() < LONGEST_BODY_SEARCHED) {
      body.append(content.content().toString(StandardCharsets.UTF_8));
    }
    return message instanceof LastHttpContent
        && faults.hitting(FaultKind.CRASH_ON, body.toString()).isPresent();
  }

  private void swallow(ChannelHandlerContext ctx, Object message) {
    boolean last = message instanceof LastHttpContent;
    ReferenceCountUtil.release(message);
    if (last) {
      answeringDown = false;
      FullHttpResponse answer =
          new DefaultFullHttpResponse(
              HttpVersion.HTTP_1_1, HttpResponseStatus.SERVICE_UNAVAILABLE, Unpooled.EMPTY_BUFFER);
      answer.headers().set(HttpHeaderNames.CONTENT_LENGTH, 0);
      ctx.writeAndFlush(answer);
    }
    ctx.read();
  }

  private boolean silent() {
    return faults.silenced(connection);
  }
}
