package io.hawthornlb.standin.fault.support;

import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.http.DefaultHttpResponse;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import java.util.ArrayList;
import java.util.List;

/** Copy of the last answer on a connection, which can be sent once more. */
final class AnswerCopy {

  private final List<Object> messages = new ArrayList<>();
  private boolean complete;

  /** Adds a message that is being sent. */
  void add(Object message) {
    if (message instanceof HttpResponse) {
      clear();
    }
    if (message instanceof FullHttpResponse full) {
      messages.add(full.copy());
    } else if (message instanceof HttpResponse head) {
      messages.add(
          new DefaultHttpResponse(head.protocolVersion(), head.status(), head.headers().copy()));
    } else if (message instanceof HttpContent content) {
      messages.add(content.copy());
    }
    complete = message instanceof LastHttpContent;
  }

  /** Sends the copy if the answer is complete, and forgets it. */
  void send(ChannelHandlerContext ctx) {
    if (complete) {
      messages.forEach(ctx::write);
      messages.clear();
    }
    clear();
  }

  /** Forgets the answer. */
  void clear() {
    messages.forEach(ReferenceCountUtil::release);
    messages.clear();
    complete = false;
  }
}
