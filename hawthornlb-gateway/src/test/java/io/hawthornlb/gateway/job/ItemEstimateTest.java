package io.hawthornlb.gateway.job;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.hawthornlb.core.work.WorkSize;
import io.hawthornlb.gateway.slot.SchedulingSettings;
import java.time.Duration;
import java.util.Random;
import org.junit.jupiter.api.Test;

class ItemEstimateTest {

  private static final double EVENT_MILLIS = 20;
  private static final int TOKENS_PER_EVENT = 10;

  private final ItemEstimate estimate = new ItemEstimate();
  private final Random random = new Random(1);

  /** Guards against one mean for all items, by which a long item seems to be in time. */
  @Test
  void estimatesItemsByTheirSizes() {
    complete(500);
    assertEquals(2_000, remaining(100, -1), 500);
    assertEquals(8_000, remaining(400, -1), 1_600);
    assertEquals(remaining(400, -1) - 200 * EVENT_MILLIS, remaining(400, 200), 200);
  }

  /** Guards against preempted items that count with the time of all their attempts. */
  @Test
  void learnsTheWholeTimeOfResumedItems() {
    complete(500);
    double before = remaining(150, -1);
    for (int i = 0; i < 500; i++) {
      estimate.completedInParts(size(150), null, 150);
    }
    assertEquals(before, remaining(150, -1), 0.2 * before);
  }

  @Test
  void startsWithTheRunTimeOfAnUsualItem() {
    assertEquals(4_200, estimate.remaining(WorkSize.NONE, null, -1).toMillis());
  }

  /** Guards against a deployment without the settings that ranks items by other figures. */
  @Test
  void isInEffectOnlyWhereItIsCalledFor() {
    ItemEstimates usual = new ItemEstimates(SchedulingSettings.DEFAULT);
    assertTrue(usual.of("engine").isEmpty());
    usual.paceReported("engine");
    assertTrue(usual.of("engine").isPresent());
    assertTrue(usual.of("other").isEmpty());
    assertTrue(new ItemEstimates(new SchedulingSettings(true)).of("engine").isPresent());
  }

  private void complete(int count) {
    for (int i = 0; i < count; i++) {
      int events = 50 + random.nextInt(400);
      Duration ran = Duration.ofMillis((long) (EVENT_MILLIS * events));
      estimate.completed(size(events), null, ran, events);
    }
  }

  private static WorkSize size(int events) {
    return new WorkSize(450, 10_000, events * TOKENS_PER_EVENT);
  }

  private double remaining(int events, long produced) {
    return estimate.remaining(size(events), null, produced).toMillis();
  }
}
