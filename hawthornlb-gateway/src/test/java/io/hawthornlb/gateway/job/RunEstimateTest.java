package io.hawthornlb.gateway.job;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import org.junit.jupiter.api.Test;

class RunEstimateTest {

  private static final Instant NOW = Instant.parse("2026-01-01T00:00:00Z");

  private final RunEstimate estimate = new RunEstimate();

  @Test
  void ranksItemsThatCanBeInTimeByDueTime() {
    Instant soon = NOW.plusSeconds(6);
    Instant later = NOW.plusSeconds(9);
    assertTrue(estimate.rank(soon, -1, NOW) < estimate.rank(later, -1, NOW));
  }

  @Test
  void countsTheEventsOfAnItem() {
    Instant due = NOW.plusSeconds(2);
    assertTrue(estimate.rank(due, -1, NOW) > due.toEpochMilli());
    assertEquals(due.toEpochMilli(), estimate.rank(due, 150, NOW));
  }

  @Test
  void adaptsToTheRunTimesOfItems() {
    for (int i = 0; i < 100; i++) {
      estimate.recordCompletion(Duration.ofSeconds(10), 400);
    }
    assertTrue(estimate.remaining(-1).toMillis() > 9_900, estimate.remaining(-1).toString());
    assertTrue(estimate.remaining(200).toMillis() < 5_100, estimate.remaining(200).toString());
  }

  /**
   * Guards against an overload in which nearly all items are late, although 80 of 200 could meet
   * their due times. Each item got its slot in the order of due times, just too late.
   */
  @Test
  void completesMoreItemsInTimeThanTheOrderOfDueTimes() {
    // Four rounds of 20 slots end before the last item is due; no order can complete more items in
    // time.
    assertEquals(80, inTime(true));
    assertTrue(inTime(false) <= 20, "by due times alone: " + inTime(false));
  }

  /**
   * Runs 200 items on 20 slots and returns how many are in time; the items are due over 18 s and
   * take 42 s in all.
   */
  private int inTime(boolean byEstimate) {
    List<Instant> waiting = new ArrayList<>();
    for (int i = 0; i < 200; i++) {
      waiting.add(NOW.plusMillis(3_000 + 90L * i));
    }
    int inTime = 0;
    for (Instant now = NOW; !waiting.isEmpty(); now = now.plusMillis(4_200)) {
      Instant moment = now;
      waiting.sort(
          Comparator.comparing(
              due -> byEstimate ? estimate.rank(due, -1, moment) : due.toEpochMilli()));
      for (int slot = 0; slot < 20 && !waiting.isEmpty(); slot++) {
        inTime += waiting.remove(0).isBefore(now.plusMillis(4_200)) ? 0 : 1;
      }
    }
    return inTime;
  }
}
