package io.hawthornlb.core.pace.support;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.hawthornlb.core.pace.LearnedPace;
import io.hawthornlb.core.pace.LearnedPaces;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;

class ObservedPaceTableTest {

  private static final Duration ESTIMATED = Duration.ofMillis(500);

  private final ObservedPaceTable table = new ObservedPaceTable();
  private Instant now = Instant.parse("2026-01-01T00:00:00Z");

  /** Guards against factors, from completed uses alone, for a service without pace reports. */
  @Test
  void staysInactiveWithoutReports() {
    complete("a", 3, 50);
    complete("b", 1, 50);
    assertFalse(table.active());
    assertEquals(1, table.lastingFactor("a"));
    assertEquals(1, table.factor("a", now));
  }

  @Test
  void learnsFactorsRelativeToTheMedianEndpoint() {
    learn();
    assertEquals(0.6, table.lastingFactor("fast"), 0.03);
    assertEquals(1, table.lastingFactor("usual"));
    assertEquals(1.6, table.lastingFactor("slow"), 0.08);
    assertEquals(1, table.lastingFactor("new"));
  }

  /** Guards against an endpoint that is avoided long after it has recovered. */
  @Test
  void countsAReportLessWithItsAgeAndNotAfterItsTime() {
    table.reported("a", 250, now);
    assertEquals(2.5, table.factor("a", now), 0.001);
    assertEquals(1.75, table.factor("a", now.plusMillis(300)), 0.001);
    assertEquals(1, table.factor("a", now.plusMillis(600)));
    table.reported("a", 100, now.plusMillis(100));
    assertEquals(1, table.factor("a", now.plusMillis(100)));
  }

  /** Guards against a report that stays valid because the clock was set back. */
  @Test
  void ignoresAReportFromTheFuture() {
    table.reported("a", 250, now);
    assertEquals(1, table.factor("a", now.minusSeconds(5)));
  }

  /** Guards against absurd figures that take all requests to an endpoint, or all from it. */
  @Test
  void boundsFactorsAndIgnoresAbsurdReports() {
    for (int absurd : List.of(Integer.MIN_VALUE, -1, 0, 9, 10_001, Integer.MAX_VALUE)) {
      table.reported("a", absurd, now);
    }
    assertFalse(table.active());
    table.reported("a", 10_000, now);
    assertEquals(10, table.factor("a", now));
    table.reported("a", 10, now);
    assertEquals(0.2, table.factor("a", now), 0.001);
    learn();
    complete("slow", 1e6, 100);
    complete("fast", 1e-6, 100);
    assertTrue(table.lastingFactor("slow") <= 10);
    assertTrue(table.lastingFactor("fast") >= 0.2);
  }

  /** Guards against a single use of absurd length that makes an endpoint look slow. */
  @Test
  void changesLittleByASingleUse() {
    learn();
    complete("usual", 1_000, 1);
    assertEquals(1, table.lastingFactor("usual"), 0.1);
  }

  /** Guards against an endpoint whose false reports change factors of others or any capacity. */
  @Test
  void keepsFalseReportsToTheirSender() {
    learn();
    double fast = table.factor("fast", now);
    double usual = table.lastingFactor("usual");
    for (int i = 0; i < 1_000; i++) {
      table.reported("usual", i % 2 == 0 ? 10 : 10_000, now);
    }
    assertEquals(fast, table.factor("fast", now));
    assertEquals(usual, table.lastingFactor("usual"));
  }

  /** Guards against a restarted endpoint that is taken for its slow former incarnation. */
  @Test
  void startsAnewAfterARestart() {
    learn();
    table.reported("slow", 250, now);
    table.forget("slow");
    assertEquals(1, table.factor("slow", now));
    assertEquals(0.6, table.lastingFactor("fast"), 0.03);
    complete("slow", 1, 60);
    assertEquals(1, table.lastingFactor("slow"), 0.05);
  }

  @Test
  void restoresWhatAnotherTableHasLearned() {
    learn();
    ObservedPaceTable successor = new ObservedPaceTable();
    successor.restore(table.export(), now);
    assertEquals(1, successor.lastingFactor("slow"));
    successor.reported("usual", 100, now);
    assertEquals(table.lastingFactor("slow"), successor.lastingFactor("slow"), 0.001);
    assertEquals(table.export(), successor.export());
  }

  /** Guards against a damaged snapshot that replaces what the table has observed itself. */
  @Test
  void ignoresUnusableEntriesOfASnapshot() {
    learn();
    LearnedPaces before = table.export();
    table.restore(
        new LearnedPaces(
            Map.of(
                "fast", new LearnedPace(Double.NaN, 1_000),
                "usual", new LearnedPace(-1, 1_000),
                "slow", new LearnedPace(1, 3))),
        now);
    assertEquals(before, table.export());
  }

  /** Guards against a log that fills up because a factor varies around the limit. */
  @Test
  void announcesAChangeOfAnEndpointAtMostEveryTenSeconds() {
    List<String> announced = new ArrayList<>();
    table.onChange((endpoint, factor, usual) -> announced.add(endpoint + " " + usual));
    learn();
    assertEquals(List.of("fast false", "slow false"), announced.stream().sorted().toList());
    Instant end = now.plusSeconds(60);
    for (int i = 0; now.isBefore(end); i++) {
      complete("slow", i / 100 % 2 == 0 ? 1 : 5, 1);
      complete("usual", 1, 1);
    }
    assertTrue(announced.size() <= 10, announced.toString());
  }

  /** Activates the table, and completes many uses at three endpoints of different pace. */
  private void learn() {
    table.reported("usual", 100, now);
    for (int i = 0; i < 300; i++) {
      double length = 0.8 + 0.4 * (i % 2);
      complete("fast", 0.6 * length, 1);
      complete("usual", length, 1);
      complete("slow", 1.6 * length, 1);
    }
    // The median is computed again after a while only.
    now = now.plusMillis(100);
    complete("usual", 1, 1);
  }

  private void complete(String endpoint, double ratio, int times) {
    for (int i = 0; i < times; i++) {
      now = now.plusMillis(20);
      Duration actual = Duration.ofNanos((long) (ESTIMATED.toNanos() * ratio));
      table.completed(endpoint, ESTIMATED, actual, now);
    }
  }
}
