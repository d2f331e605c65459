package io.hawthornlb.gateway.loop;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.hawthornlb.gateway.VirtualLoop;
import io.hawthornlb.gateway.event.JsonEventLog;
import io.hawthornlb.gateway.event.PeriodicLines;
import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.List;
import org.awaitility.Awaitility;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.condition.EnabledOnOs;
import org.junit.jupiter.api.condition.OS;
import org.junit.jupiter.api.io.TempDir;

class WorkReportTest {

  private final InstantSource clock = InstantSource.fixed(Instant.parse("2026-01-01T00:00:00Z"));
  private final ByteArrayOutputStream out = new ByteArrayOutputStream();
  private final JsonEventLog log = new JsonEventLog(clock, out);
  private final AccountedEventLoop accounted = AccountedEventLoop.create();
  @TempDir private Path tasks;

  @AfterEach
  void stopTheLoop() {
    accounted.shutdownGracefully();
  }

  @Test
  void logsTimesOfThreadsAndKindsOfWork() throws Exception {
    Path thread = Files.createDirectory(tasks.resolve("1"));
    Files.writeString(thread.resolve("comm"), "loop-2-1\n");
    Files.writeString(thread.resolve("schedstat"), "5000 1 1\n");
    WorkReport report = new WorkReport(accounted, new ThreadTimes(tasks), log);
    accounted.submit(report::write).sync();
    String line = lines(1)[0];
    assertTrue(line.contains("\"event\":\"processor.time\""), line);
    assertTrue(line.contains("\"loopThread\":5,"), line);
    assertTrue(line.matches(".*\"taskMicros\":\\d+,\"tasks\":[1-9].*"), line);
    assertTrue(line.matches(".*\"selectMicros\":\\d+,\"selects\":[1-9].*"), line);
  }

  /**
   * Guards against accounting the loop's time to the runtime because the system truncates the name
   * of the loop's thread.
   */
  @Test
  @EnabledOnOs(OS.LINUX)
  void recognizesTheThreadOfTheLoop() throws Exception {
    WorkReport report = new WorkReport(accounted, new ThreadTimes(), log);
    accounted.submit(report::write).sync();
    String line = lines(1)[0];
    assertTrue(line.contains("\"loopThread\":"), line);
  }

  @Test
  void writesALineEveryFewSeconds() throws Exception {
    VirtualLoop virtual = new VirtualLoop();
    WorkReport report = new WorkReport(virtual.loop(), new ThreadTimes(tasks), log);
    new PeriodicLines(virtual.loop(), List.of(report::write)).start();
    virtual.advance(Duration.ofSeconds(11));
    assertEquals(2, lines(2).length);
  }

  private String[] lines(int least) {
    Awaitility.await().until(() -> text().split("\n").length >= least && text().endsWith("\n"));
    return text().split("\n");
  }

  private String text() {
    return out.toString(StandardCharsets.UTF_8);
  }
}
