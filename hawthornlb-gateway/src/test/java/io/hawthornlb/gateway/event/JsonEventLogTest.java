package io.hawthornlb.gateway.event;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTimeoutPreemptively;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.concurrent.CountDownLatch;
import org.awaitility.Awaitility;
import org.junit.jupiter.api.Test;

class JsonEventLogTest {

  private final InstantSource clock = InstantSource.fixed(Instant.parse("2026-01-01T00:00:00Z"));

  @Test
  void writesALineOfJson() {
    ByteArrayOutputStream out = new ByteArrayOutputStream();
    JsonEventLog log = new JsonEventLog(clock, out);
    log.important("front", "request.refused").with("id", "x\ny").with("status", 503).write();
    Awaitility.await().until(() -> out.size() > 0);
    assertEquals(
        "{\"time\":\"2026-01-01T00:00:00Z\",\"part\":\"front\",\"event\":\"request.refused\","
            + "\"id\":\"x\\ny\",\"status\":503}\n",
        out.toString(StandardCharsets.UTF_8));
  }

  /**
   * Guards against requests that block because nobody reads standard output and each line waits for
   * a reader.
   */
  @Test
  void neverBlocksOnASlowReader() {
    CountDownLatch never = new CountDownLatch(1);
    OutputStream blocked =
        new OutputStream() {
          @Override
          public void write(int value) throws IOException {
            try {
              never.await();
            } catch (InterruptedException e) {
              throw new IOException(e);
            }
          }
        };
    JsonEventLog log = new JsonEventLog(clock, blocked);
    assertTimeoutPreemptively(
        Duration.ofSeconds(5),
        () -> {
          for (int i = 0; i < 10_000; i++) {
            log.routine("front", "request.answered").with("id", "x").write();
          }
        });
    assertTrue(log.dropped() >= 9_000, "dropped " + log.dropped());
  }

  @Test
  void keepsRoomForFailures() {
    ByteArrayOutputStream out = new ByteArrayOutputStream();
    JsonEventLog log = new JsonEventLog(clock, out);
    for (int i = 0; i < 1_000; i++) {
      log.routine("front", "request.answered").write();
    }
    log.important("front", "request.failed").write();
    Awaitility.await().until(() -> out.toString(StandardCharsets.UTF_8).contains("failed"));
  }

  /**
   * Guards against a log without the reason for refused requests, because thousands of lines about
   * items used up the limit of that second.
   */
  @Test
  void leavesRoomForOtherPartsWhenOnePartLogsTooMuch() {
    ByteArrayOutputStream out = new ByteArrayOutputStream();
    JsonEventLog log = new JsonEventLog(clock, out);
    for (int i = 0; i < 5_000; i++) {
      log.important("job", "item.broken").write();
    }
    log.important("front", "request.failed").write();
    Awaitility.await().until(() -> out.toString(StandardCharsets.UTF_8).contains("failed"));
  }

  @Test
  void logsTheNumberOfDroppedLinesOncePerSecond() {
    Instant[] now = {Instant.parse("2026-01-01T00:00:00Z")};
    ByteArrayOutputStream out = new ByteArrayOutputStream();
    JsonEventLog log = new JsonEventLog(() -> now[0], out);
    for (int second = 0; second < 3; second++) {
      for (int i = 0; i < 1_000; i++) {
        log.important("job", "item.broken").write();
      }
      now[0] = now[0].plusMillis(1_001);
    }
    Awaitility.await().until(() -> count(out, "log.dropped") == 2);
    assertTrue(log.dropped() > 2_000, "dropped " + log.dropped());
  }

  /** Prints the cost of a line for its writer. The bound is wide because machines differ. */
  @Test
  void hasALowCostPerLine() {
    Instant[] now = {Instant.parse("2026-01-01T00:00:00Z")};
    JsonEventLog log = new JsonEventLog(() -> now[0], OutputStream.nullOutputStream());
    int lines = 20_000;
    for (int round = 0; round < 2; round++) {
      long began = System.nanoTime();
      for (int i = 0; i < lines; i++) {
        now[0] = now[0].plusMillis(20);
        log.routine("front", "request.answered")
            .with("id", "9c41d07be2a35f68")
            .with("status", 200)
            .with("endpoint", "i-7f3a91c2d4")
            .with("firstMillis", 61)
            .with("millis", 640)
            .write();
      }
      long each = (System.nanoTime() - began) / lines;
      System.out.println("log: " + each + " ns a line");
      assertTrue(each < 200_000, each + " ns");
    }
  }

  private static int count(ByteArrayOutputStream out, String text) {
    return out.toString(StandardCharsets.UTF_8).split(text, -1).length - 1;
  }

  /**
   * Guards against a process that exits or blocks because the reader of its output has closed it.
   */
  @Test
  void continuesWhenStandardOutputIsClosed() {
    OutputStream closed =
        new OutputStream() {
          @Override
          public void write(int value) throws IOException {
            throw new IOException("closed");
          }
        };
    JsonEventLog log = new JsonEventLog(clock, closed);
    for (int i = 0; i < 2_000; i++) {
      log.important("front", "request.failed").write();
    }
    assertTrue(log.dropped() > 0);
  }
}
