package io.hawthornlb.gateway.job;

import io.hawthornlb.gateway.wire.AnswerLimits;
import io.hawthornlb.gateway.wire.AnswerPart;
import io.hawthornlb.gateway.wire.ByteBudget;
import io.hawthornlb.gateway.wire.EventSplitter;
import io.hawthornlb.gateway.wire.StreamEvent;
import io.netty.buffer.ByteBuf;
import java.util.List;
import java.util.Optional;

/** Bytes of one endpoint's answer to an item, which an endpoint in trouble sends without end. */
final class ItemAnswerBytes {

  private final EventSplitter splitter = new EventSplitter();
  private final ByteBudget unused = new ByteBudget(AnswerLimits.UNUSED_BODY_BYTES);
  private long read;

  /** Consumes bytes and returns the events that they complete. */
  List<StreamEvent> feed(ByteBuf content) {
    read += content.readableBytes();
    return splitter.feed(content);
  }

  /** Counts bytes of which nothing is used. */
  void discard(ByteBuf content) {
    read += content.readableBytes();
    unused.use(content.readableBytes());
  }

  /** Returns the part of the answer that is too long; empty if none is. */
  Optional<AnswerPart> tooLong(ItemOutput output) {
    if (splitter.tooLong()) {
      return Optional.of(AnswerPart.EVENT);
    }
    return unused.exceeded() || output.tooLong() ? Optional.of(AnswerPart.BODY) : Optional.empty();
  }

  /** Returns how many bytes a part has so far. */
  long count(AnswerPart part) {
    return part == AnswerPart.EVENT ? splitter.bytesWithoutEvent() : read;
  }

  boolean hasPartialEvent() {
    return splitter.hasPartialEvent();
  }
}
