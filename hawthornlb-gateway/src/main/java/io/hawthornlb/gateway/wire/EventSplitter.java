package io.hawthornlb.gateway.wire;

import io.netty.buffer.ByteBuf;
import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

/**
 * Cuts a stream into whole events.
 *
 * <p>Failure: an endpoint stops in the middle of an event, and another one goes on after the last
 * whole event. Were the torn part passed on, the caller would read two events as one. Guard: bytes
 * are passed on event by event, and what is torn is dropped.
 */
public final class EventSplitter {

  private final ByteArrayOutputStream partial = new ByteArrayOutputStream(256);
  private boolean lineEmpty = true;

  /** Takes bytes of the stream; returns the events that they complete. */
  public List<StreamEvent> feed(ByteBuf content) {
    List<StreamEvent> events = new ArrayList<>();
    while (content.isReadable()) {
      byte next = content.readByte();
      partial.write(next);
      if (next == '\n') {
        if (lineEmpty && partial.size() > 1) {
          byte[] bytes = partial.toByteArray();
          events.add(new StreamEvent(id(bytes), bytes));
          partial.reset();
        }
        lineEmpty = true;
      } else if (next != '\r') {
        lineEmpty = false;
      }
    }
    return events;
  }

  /** Returns whether bytes of an event came whose end did not. */
  public boolean torn() {
    return partial.size() > 0;
  }

  /** Drops what is torn. */
  public void reset() {
    partial.reset();
    lineEmpty = true;
  }

  /** Returns the data of an event, its lines joined by line feeds. */
  public static String data(StreamEvent event) {
    StringBuilder data = new StringBuilder();
    for (String line : new String(event.bytes(), StandardCharsets.UTF_8).split("\r?\n")) {
      if (line.startsWith("data:")) {
        String value = line.substring("data:".length());
        if (data.length() > 0) {
          data.append('\n');
        }
        data.append(value.startsWith(" ") ? value.substring(1) : value);
      }
    }
    return data.toString();
  }

  private static long id(byte[] bytes) {
    for (String line : new String(bytes, StandardCharsets.ISO_8859_1).split("\r?\n")) {
      if (line.startsWith("id:")) {
        return parse(line.substring("id:".length()).trim());
      }
    }
    return -1;
  }

  private static long parse(String text) {
    try {
      return Long.parseLong(text);
    } catch (NumberFormatException e) {
      // An id that is no number cannot be resumed after; the event itself is passed on.
      return -1;
    }
  }
}
