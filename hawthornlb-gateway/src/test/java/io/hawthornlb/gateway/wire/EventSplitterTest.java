package io.hawthornlb.gateway.wire;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class EventSplitterTest {

  private static final String STREAM =
      "id: 1\ndata: a\n\nid: 2\r\ndata: b\r\ndata: c\r\n\r\nweights: 7\nid: 3\ndata:d\n\n";

  private final EventSplitter splitter = new EventSplitter();

  @Property
  void splitsIdenticallyHoweverTheBytesArrive(
      @ForAll @IntRange(min = 1, max = 9) int size, @ForAll @IntRange(min = 1, max = 9) int next) {
    EventSplitter fresh = new EventSplitter();
    byte[] bytes = STREAM.getBytes(StandardCharsets.UTF_8);
    List<StreamEvent> events = new ArrayList<>();
    int from = 0;
    boolean odd = true;
    while (from < bytes.length) {
      int length = Math.min(odd ? size : next, bytes.length - from);
      events.addAll(fresh.feed(Unpooled.wrappedBuffer(bytes, from, length)));
      from += length;
      odd = !odd;
    }
    assertEquals(List.of(1L, 2L, 3L), events.stream().map(StreamEvent::id).toList());
    assertEquals(List.of("a", "b\nc", "d"), events.stream().map(EventSplitter::data).toList());
    assertFalse(fresh.hasPartialEvent());
  }

  /**
   * Guards against a caller that reads half of one event joined with another. The first endpoint
   * stopped in the middle of an event, and the next endpoint started after the last complete event.
   */
  @Test
  void holdsBackAPartialEvent() {
    List<StreamEvent> events = splitter.feed(text("id: 1\ndata: a\n\nid: 2\ndat"));
    assertEquals(1, events.size());
    assertTrue(splitter.hasPartialEvent());
    splitter.reset();
    assertEquals("b", EventSplitter.data(splitter.feed(text("id: 2\ndata: b\n\n")).get(0)));
  }

  @Test
  void returnsEventsWithoutANumber() {
    StreamEvent event = splitter.feed(text("data: x\n\n")).get(0);
    assertEquals(-1, event.id());
    assertEquals("data: x\n\n", new String(event.bytes(), StandardCharsets.UTF_8));
  }

  /** Guards against bytes without an end that are kept, or that count as events. */
  @ParameterizedTest
  @ValueSource(strings = {"data: x", "data: x\n", ": x\n\n", "\n", "\r\n", "\n: x\n\n\n"})
  void countsBytesThatMakeNoEvent(String piece) {
    String bytes = piece.repeat(AnswerLimits.WITHOUT_EVENT_BYTES / piece.length());
    splitter.feed(text("id: 1\ndata: a\n\n" + bytes));
    assertFalse(splitter.tooLong());
    splitter.feed(text(piece + piece));
    assertTrue(splitter.tooLong());
    splitter.feed(text("\n\nid: 2\ndata: b\n\n"));
    assertFalse(splitter.tooLong());
  }

  @Test
  void parsesFieldsWithoutNormalizingThem() {
    StreamEvent event = splitter.feed(text("data:\r\ndata:  a\rb\r\nid:  x\nid: 7\n\n")).get(0);
    assertEquals(-1, event.id(), "the first id line counts, and its value is not a number");
    assertEquals(" a\rb", EventSplitter.data(event));
    assertEquals(12, splitter.feed(text("identity: 3\nid:12\r\n\r\n")).get(0).id());
    assertEquals(
        1,
        splitter.feed(text("\n\n")).size(),
        "an additional empty line must not end an event of its own");
  }

  private static ByteBuf text(String text) {
    return Unpooled.copiedBuffer(text, StandardCharsets.UTF_8);
  }
}
