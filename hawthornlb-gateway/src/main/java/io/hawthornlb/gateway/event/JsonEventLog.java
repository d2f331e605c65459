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
 * Writes lines of JSON from a thread of its own.
 *
 * <p>Failure: a reader of standard output that is slow or gone blocks whoever writes. It shows as
 * requests that stand still. Guard: lines go through a bounded queue to one thread; when the queue
 * is full they are dropped and counted. A budget a second bounds what a storm of requests costs;
 * routine lines get half of it, so that failures are kept before successes.
 */
public final class JsonEventLog implements EventLog {

  /** Lines a second; 300 lines of 200 bytes cost about 0.3% of a core. */
  private static final int LINES_PER_SECOND = 300;

  /** Lines a second of one part, so that a loud one leaves room for the others. */
  private static final int LINES_OF_PART = 200;

  /** Lines that wait for the writing thread; two seconds of the budget. */
  private static final int QUEUE_LINES = 600;

  private static final Duration WINDOW = Duration.ofSeconds(1);

  private final JsonFactory json = new JsonFactory();
  private final BlockingQueue<byte[]> queue = new ArrayBlockingQueue<>(QUEUE_LINES);
  private final AtomicLong dropped = new AtomicLong();
  private final InstantSource clock;
  private final OutputStream out;
  private final Map<String, Integer> linesOfPart = new HashMap<>();
  private Instant windowStart = Instant.MIN;
  private int linesInWindow;
  private long droppedTold;

  /** Creates a log and starts its thread. */
  public JsonEventLog(InstantSource clock, OutputStream out) {
    this.clock = clock;
    this.out = out;
    Thread writer = new Thread(this::writeLines, "event-log");
    writer.setDaemon(true);
    writer.start();
  }

  @Override
  public EventLine routine(String part, String event) {
    return admit(part, 2) ? new Line(part, event) : NoLine.INSTANCE;
  }

  @Override
  public EventLine important(String part, String event) {
    return admit(part, 1) ? new Line(part, event) : NoLine.INSTANCE;
  }

  /** Returns the number of lines that were left out. */
  public long dropped() {
    return dropped.get();
  }

  /** Counts a line if the budgets of its part and of all, less a share, have room for it. */
  private synchronized boolean admit(String part, int share) {
    Instant now = clock.instant();
    if (now.isAfter(windowStart.plus(WINDOW))) {
      windowStart = now;
      linesInWindow = 0;
      linesOfPart.clear();
      tellDropped();
    }
    int ofPart = linesOfPart.getOrDefault(part, 0);
    if (linesInWindow >= LINES_PER_SECOND / share || ofPart >= LINES_OF_PART / share) {
      dropped.incrementAndGet();
      return false;
    }
    linesOfPart.put(part, ofPart + 1);
    linesInWindow++;
    return true;
  }

  /** Tells, once a window, how many lines were left out so far. */
  private void tellDropped() {
    long now = dropped.get();
    if (now > droppedTold) {
      droppedTold = now;
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
      // Standard output is closed: there is nowhere left to tell it. Lines fill the queue and drop.
      dropped.addAndGet(queue.size());
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  /** A line as a JSON object. */
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
        throw new UncheckedIOException("A buffer in memory failed", e);
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
        throw new UncheckedIOException("A buffer in memory failed", e);
      }
    }

    @Override
    public EventLine with(String name, long value) {
      try {
        generator.writeNumberField(name, value);
        return this;
      } catch (IOException e) {
        throw new UncheckedIOException("A buffer in memory failed", e);
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
        throw new UncheckedIOException("A buffer in memory failed", e);
      }
    }
  }

  /** Stands for a line over the budget. */
  private enum NoLine implements EventLine {
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
      // Counted when it was refused.
    }
  }
}
