package io.hawthornlb.app.logging;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Instant;
import java.util.logging.Level;
import java.util.logging.LogRecord;
import org.junit.jupiter.api.Test;

class LineFormatterTest {

  private static final Instant TIME = Instant.parse("2026-12-02T20:30:00.123456Z");

  private static String format(String logger, Level level, String message, Throwable thrown) {
    LogRecord event = new LogRecord(level, message);
    event.setInstant(TIME);
    event.setLoggerName(logger);
    event.setThrown(thrown);
    return new LineFormatter().format(event);
  }

  @Test
  void writesTimeLevelAndMessage() {
    assertEquals(
        "2026-12-02T20:30:00.123Z INFO router: no endpoint\n",
        format("io.hawthornlb.core.Router", Level.INFO, "router: no endpoint", null));
    assertEquals(
        "2026-12-02T20:30:00.123Z DEBUG library netty: x\n",
        format("io.netty.channel.Bootstrap", Level.FINE, "x", null));
    assertEquals(
        "2026-12-02T20:30:00.123Z WARNING library custom: x\n",
        format("custom", Level.WARNING, "x", null));
  }

  // Guards against log injection: a caller sends a name that contains a line break and text in the
  // format of an event, and a reader of the log takes the text for an event of the program.
  @Test
  void writesAnEventOnOneLine() {
    String line =
        format(
            "io.hawthornlb.A",
            Level.SEVERE,
            "http: bad name a\r\n2026 INFO router: all well",
            new IllegalStateException("first\nsecond", new RuntimeException("deeper")));

    assertTrue(line.startsWith("2026-12-02T20:30:00.123Z ERROR http: bad name a 2026 INFO"), line);
    assertTrue(line.contains("[IllegalStateException: first second at LineFormatterTest.java:"));
    assertTrue(line.contains("; caused by RuntimeException: deeper at "), line);
    assertEquals(line.length() - 1, line.indexOf('\n'));
  }
}
