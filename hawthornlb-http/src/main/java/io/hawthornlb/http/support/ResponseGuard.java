package io.hawthornlb.http.support;

import io.hawthornlb.http.BrokenResponseException;
import io.hawthornlb.http.ResponseScanner;
import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.util.ByteProcessor;

/**
 * Passes on the bytes of a connection only as long as they are responses.
 *
 * <p>It stands before the decoder, which repairs some faults. A broken response reaches the
 * handlers behind as a {@link BrokenResponseException}, before the decoder can end it, and the
 * connection is closed.
 */
public final class ResponseGuard extends ChannelInboundHandlerAdapter {

  private final ResponseScanner scanner;
  private final ByteProcessor acceptor;
  private int unread;
  private boolean broken;

  /** Creates a guard for one connection. */
  public ResponseGuard(ResponseScanner scanner) {
    this.scanner = scanner;
    this.acceptor = scanner::accept;
  }

  /** Returns whether bytes behind the end of the response that is being passed on were received. */
  public boolean hasUnread() {
    return unread > 0;
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
        int last = bytes.forEachByte(at, end - at, acceptor);
        at = last < 0 ? end : last + 1;
      }
      complete = scanner.atEnd();
    }
    return at;
  }

  private void fail(ChannelHandlerContext ctx, BrokenResponseException failure) {
    broken = true;
    ctx.fireExceptionCaught(failure);
    ctx.close();
  }
}
