package io.hawthornlb.gateway.event;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import com.fasterxml.jackson.core.util.ByteArrayBuilder;
import java.io.IOException;
import java.io.OutputStream;
import java.io.UncheckedIOException;
import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.atomic.AtomicLong;
import org.jspecify.annotations.Nullable;

/**
 * Writes JSON lines on a separate thread.
 *
 * <p>A slow or absent reader of standard output blocks a writer, and requests would stop. Lines
 * therefore pass through a bounded queue to one thread, and are dropped and counted when the queue
 * is full. A limit on lines per second bounds the cost of a burst of requests. Routine lines may
 * use half of that limit, so that lines about failures take precedence over lines about successes.
 */
public final class JsonEventLog implements EventLog {

  /** Maximum number of lines per second; 300 lines of 200 bytes cost about 0.3% of a core. */
  private static final int MAX_LINES_PER_SECOND = 300;

  /**
   * Maximum number of lines per second of one part, so that a part with many lines leaves room for
   * the others.
   */
  private static final int MAX_LINES_PER_PART = 200;

  /** Capacity of the queue to the writing thread in lines; two seconds of the line limit. */
  private static final int QUEUE_CAPACITY = 600;

  private static final Duration WINDOW = Duration.ofSeconds(1);

  private final JsonFactory json = new JsonFactory();
  private final BlockingQueue<byte[]> queue = new ArrayBlockingQueue<>(QUEUE_CAPACITY);
  private final AtomicLong dropped = new AtomicLong();
  private final InstantSource clock;
  private final OutputStream out;
  private final Map<String, Integer> linesByPart = new HashMap<>();
  private Instant windowStart = Instant.MIN;
  private int linesInWindow;
  private long droppedLogged;

  /** Creates a log and starts its writing thread. */
  public JsonEventLog(InstantSource clock, OutputStream out) {
    this.clock = clock;
    this.out = out;
    Thread writer = new Thread(this::writeLines, "event-log");
    writer.setDaemon(true);
    writer.start();
  }

  @Override
  public EventLine routine(String part, String event) {
    return admit(part, 2) ? new Line(part, event) : DiscardedLine.INSTANCE;
  }

  @Override
  public EventLine important(String part, String event) {
    return admit(part, 1) ? new Line(part, event) : DiscardedLine.INSTANCE;
  }

  /** Returns the number of dropped lines. */
  public long dropped() {
    return dropped.get();
  }

  /**
   * Counts a line if the limits have room for it.
   *
   * @param share divisor of the limits that apply to the line; 2 lets the line use half of them
   */
  private synchronized boolean admit(String part, int share) {
    Instant now = clock.instant();
    if (now.isAfter(windowStart.plus(WINDOW))) {
      windowStart = now;
      linesInWindow = 0;
      linesByPart.clear();
      logDropped();
    }
    int ofPart = linesByPart.getOrDefault(part, 0);
    if (linesInWindow >= MAX_LINES_PER_SECOND / share || ofPart >= MAX_LINES_PER_PART / share) {
      dropped.incrementAndGet();
      return false;
    }
    linesByPart.put(part, ofPart + 1);
    linesInWindow++;
    return true;
  }

  /** Logs at most once per window how many lines were dropped so far. */
  private void logDropped() {
    long now = dropped.get();
    if (now > droppedLogged) {
      droppedLogged = now;
      new Line("log", "log.dropped").with("lines", now).write();
    }
  }

  private void offer(byte[] line) {
    if (!queue.offer(line)) {
      dropped.incrementAndGet();
    }
  }

  private void writeLines() {
    try {
      while (true) {
        out.write(queue.take());
        if (queue.isEmpty()) {
          out.flush();
        }
      }
    } catch (IOException e) {
      // Standard output is closed, and the failure cannot be reported. Lines fill the queue and are
      // then dropped.
      dropped.addAndGet(queue.size());
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  /** A line that is written as a JSON object. */
  private final class Line implements EventLine {

    private final ByteArrayBuilder bytes = new ByteArrayBuilder(256);
    private final JsonGenerator generator;

    private Line(String part, String event) {
      try {
        generator = json.createGenerator(bytes);
        generator.writeStartObject();
        generator.writeStringField("time", clock.instant().toString());
        generator.writeStringField("part", part);
        generator.writeStringField("event", event);
      } catch (IOException e) {
        throw new UncheckedIOException("writing to an in-memory buffer failed", e);
      }
    }

    @Override
    public EventLine with(String name, @Nullable String value) {
      try {
        if (value != null) {
          generator.writeStringField(name, value);
        }
        return this;
      } catch (IOException e) {
        throw new UncheckedIOException("writing to an in-memory buffer failed", e);
      }
    }

    @Override
    public EventLine with(String name, long value) {
      try {
        generator.writeNumberField(name, value);
        return this;
      } catch (IOException e) {
        throw new UncheckedIOException("writing to an in-memory buffer failed", e);
      }
    }

    @Override
    public void write() {
      try {
        generator.writeEndObject();
        generator.close();
        bytes.append('\n');
        offer(bytes.toByteArray());
      } catch (IOException e) {
        throw new UncheckedIOException("writing to an in-memory buffer failed", e);
      }
    }
  }

  /** Placeholder for a line that exceeds the limits. */
  private enum DiscardedLine implements EventLine {
    INSTANCE;

    @Override
    public EventLine with(String name, @Nullable String value) {
      return this;
    }

    @Override
    public EventLine with(String name, long value) {
      return this;
    }

    @Override
    public void write() {
      // The line was counted as dropped when it was refused.
    }
  }
}
