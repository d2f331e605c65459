package io.hawthornlb.gateway.wire;

import io.netty.buffer.ByteBuf;
import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;

/**
 * Splits a byte stream into complete server-sent events.
 *
 * <p>An endpoint may stop in the middle of an event, and another endpoint resumes after the last
 * complete event. Forwarding the partial event would make the caller read two events as one. The
 * splitter therefore returns complete events only, and the caller of the splitter discards a
 * partial event.
 */
public final class EventSplitter {

  private static final byte[] ID_FIELD = {'i', 'd', ':'};
  private static final String DATA_FIELD = "data:";

  private final ByteArrayOutputStream partial = new ByteArrayOutputStream(256);
  private final ByteBudget withoutEvent = new ByteBudget(AnswerLimits.WITHOUT_EVENT_BYTES);
  private boolean lineEmpty = true;
  private boolean blank = true;

  /** Consumes bytes of the stream and returns the events that they complete. */
  public List<StreamEvent> feed(ByteBuf content) {
    byte[] bytes = new byte[content.readableBytes()];
    content.readBytes(bytes);
    withoutEvent.use(bytes.length);
    List<StreamEvent> events = new ArrayList<>(1);
    int start = 0;
    for (int at = 0; at < bytes.length; at++) {
      byte next = bytes[at];
      if (next == '\n') {
        boolean more = blank && isLineEnd(bytes, at + 1);
        if (lineEmpty && partial.size() + at > start && !more) {
          StreamEvent event = event(bytes, start, at + 1);
          events.add(event);
          start = at + 1;
          if (!blank && !event.isComment()) {
            withoutEvent.restart(bytes.length - start);
          }
          blank = true;
        }
        lineEmpty = true;
      } else if (next != '\r') {
        lineEmpty = false;
        blank = false;
      }
    }
    partial.write(bytes, start, bytes.length - start);
    return events;
  }

  /** Returns whether empty lines go on at an index; those that come together are one event. */
  private static boolean isLineEnd(byte[] bytes, int at) {
    return at < bytes.length && (bytes[at] == '\n' || bytes[at] == '\r');
  }

  private StreamEvent event(byte[] bytes, int from, int to) {
    byte[] whole = Arrays.copyOfRange(bytes, from, to);
    if (partial.size() > 0) {
      partial.writeBytes(whole);
      whole = partial.toByteArray();
      partial.reset();
    }
    return new StreamEvent(id(whole), whole);
  }

  /** Returns whether part of an event was received without its end; blank lines are no part. */
  public boolean hasPartialEvent() {
    for (byte each : partial.toByteArray()) {
      if (each != '\n' && each != '\r') {
        return true;
      }
    }
    return false;
  }

  /** Returns how many bytes were received since the last event that is no comment. */
  public long bytesWithoutEvent() {
    return withoutEvent.used();
  }

  /** Returns whether too many bytes were received since the last event that is no comment. */
  public boolean tooLong() {
    return withoutEvent.exceeded();
  }

  /** Discards a partial event. */
  public void reset() {
    partial.reset();
    withoutEvent.restart(0);
    lineEmpty = true;
    blank = true;
  }

  /** Returns the data of an event, its lines joined by line feeds. */
  public static String data(StreamEvent event) {
    String text = new String(event.bytes(), StandardCharsets.UTF_8);
    StringBuilder data = new StringBuilder(text.length());
    int from = 0;
    while (from < text.length()) {
      int end = text.indexOf('\n', from);
      int next = end < 0 ? text.length() : end + 1;
      if (text.startsWith(DATA_FIELD, from)) {
        appendLine(data, text, from + DATA_FIELD.length(), end < 0 ? next : end);
      }
      from = next;
    }
    return data.toString();
  }

  private static void appendLine(StringBuilder data, String text, int from, int lineEnd) {
    int end = lineEnd > from && text.charAt(lineEnd - 1) == '\r' ? lineEnd - 1 : lineEnd;
    if (data.length() > 0) {
      data.append('\n');
    }
    data.append(text, from < end && text.charAt(from) == ' ' ? from + 1 : from, end);
  }

  /**
   * Returns the number in the first id line. Runs for each event, and therefore works on the bytes
   * directly.
   */
  private static long id(byte[] bytes) {
    int from = 0;
    while (from < bytes.length) {
      int end = from;
      while (end < bytes.length && bytes[end] != '\n') {
        end++;
      }
      int value = from + ID_FIELD.length;
      if (end >= value && Arrays.equals(bytes, from, value, ID_FIELD, 0, ID_FIELD.length)) {
        return parse(new String(bytes, value, end - value, StandardCharsets.ISO_8859_1).trim());
      }
      from = end + 1;
    }
    return -1;
  }

  private static long parse(String text) {
    try {
      return Long.parseLong(text);
    } catch (NumberFormatException e) {
      // A stream cannot be resumed after an id that is not a number; the event itself is still
      // forwarded.
      return -1;
    }
  }
}
