package io.hawthornlb.http.support;

import io.hawthornlb.http.BrokenResponseException;
import io.hawthornlb.http.ResponseFault;
import io.hawthornlb.http.ResponseScanner;
import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelOption;
import io.netty.channel.socket.ChannelInputShutdownEvent;
import io.netty.util.concurrent.FastThreadLocal;

/**
 * Passes on the bytes of a connection only as long as they are responses.
 *
 * <p>It stands before the decoder, which repairs some faults and takes the end of a connection for
 * the end of a response. A broken response reaches the handlers behind as a {@link
 * BrokenResponseException}, before the decoder can end it, and the connection is closed. What the
 * decoder still makes of a broken response when the connection closes comes behind the exception,
 * and must be ignored.
 *
 * <p>An end of the connection counts as closed by the server only if the socket reports the end of
 * its input. A socket that is closed for any other reason, such as a reset that a write has met,
 * never reports it.
 */
public final class ResponseGuard extends ChannelInboundHandlerAdapter {

  /** Bytes that are scanned at once; most heads have fewer. */
  private static final int SCANNED_AT_ONCE = 512;

  private static final FastThreadLocal<byte[]> SCRATCH =
      new FastThreadLocal<>() {
        @Override
        protected byte[] initialValue() {
          return new byte[SCANNED_AT_ONCE];
        }
      };

  private final ResponseScanner scanner;
  private int unread;
  private boolean inputFailed;
  private boolean broken;

  /** Creates a guard for one connection. */
  public ResponseGuard(ResponseScanner scanner) {
    this.scanner = scanner;
  }

  /** Returns whether bytes behind the end of the response that is being passed on were received. */
  public boolean hasUnread() {
    return unread > 0;
  }

  @Override
  public void handlerAdded(ChannelHandlerContext ctx) {
    // Without it, the socket would report the end of its input like any other close.
    ctx.channel().config().setOption(ChannelOption.ALLOW_HALF_CLOSURE, true);
  }

  @Override
  public void channelRead(ChannelHandlerContext ctx, Object message) {
    if (!(message instanceof ByteBuf bytes)) {
      ctx.fireChannelRead(message);
      return;
    }
    boolean passedOn = false;
    try {
      while (!passedOn && !broken && ctx.channel().isActive()) {
        passedOn = passOn(ctx, bytes);
      }
    } finally {
      if (!passedOn) {
        bytes.release();
      }
    }
  }

  /** Passes on the bytes up to the end of a response; returns whether these were the last ones. */
  private boolean passOn(ChannelHandlerContext ctx, ByteBuf bytes) {
    int end;
    try {
      end = scan(bytes);
    } catch (BrokenResponseException e) {
      fail(ctx, e);
      return false;
    }
    unread = bytes.writerIndex() - end;
    if (unread == 0) {
      ctx.fireChannelRead(bytes);
      return true;
    }
    ctx.fireChannelRead(bytes.readRetainedSlice(end - bytes.readerIndex()));
    unread = 0;
    return false;
  }

  /** Returns the index behind the end of the response, or behind the bytes. */
  private int scan(ByteBuf bytes) {
    int at = bytes.readerIndex();
    int end = bytes.writerIndex();
    boolean complete = false;
    while (at < end && !complete) {
      if (scanner.contentAhead() > 0) {
        int content = (int) Math.min(scanner.contentAhead(), end - at);
        scanner.skipContent(content);
        at += content;
      } else {
        byte[] octets = SCRATCH.get();
        int count = Math.min(octets.length, end - at);
        bytes.getBytes(at, octets, 0, count);
        at += scanner.accept(octets, 0, count);
      }
      complete = scanner.atEnd();
    }
    return at;
  }

  @Override
  public void userEventTriggered(ChannelHandlerContext ctx, Object event) {
    if (!(event instanceof ChannelInputShutdownEvent)) {
      ctx.fireUserEventTriggered(event);
      return;
    }
    if (inputFailed || broken) {
      ctx.close();
    } else {
      endInput(ctx);
    }
  }

  private void endInput(ChannelHandlerContext ctx) {
    try {
      scanner.endOfInput();
    } catch (BrokenResponseException e) {
      fail(ctx, e);
      return;
    }
    // Closed first, so that no handler sends another request on the connection.
    ctx.close();
    ctx.fireUserEventTriggered(ChannelInputShutdownEvent.INSTANCE);
  }

  @Override
  public void channelInactive(ChannelHandlerContext ctx) {
    if (!broken && scanner.inResponse()) {
      fail(ctx, new BrokenResponseException(ResponseFault.BROKEN_OFF));
    }
    ctx.fireChannelInactive();
  }

  @Override
  public void exceptionCaught(ChannelHandlerContext ctx, Throwable failure) {
    inputFailed = true;
    ctx.fireExceptionCaught(failure);
  }

  private void fail(ChannelHandlerContext ctx, BrokenResponseException failure) {
    broken = true;
    ctx.fireExceptionCaught(failure);
    ctx.close();
  }
}
