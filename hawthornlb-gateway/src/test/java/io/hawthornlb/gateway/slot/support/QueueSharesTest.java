package io.hawthornlb.gateway.slot.support;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.hawthornlb.core.model.WorkspaceId;
import java.time.Duration;
import java.time.Instant;
import java.util.List;
import org.junit.jupiter.api.Test;

class QueueSharesTest {

  private static final Instant NOW = Instant.parse("2026-01-01T00:00:00Z");
  private static final Duration LONGEST = Duration.ofMillis(150);
  private static final double PER_MILLI = 0.1;

  private final QueueShares shares = new QueueShares(new DataCentreWeights());
  private final Flow hot = new Flow("a", new WorkspaceId("hot"));
  private final Flow other = new Flow("a", new WorkspaceId("other"));
  private final Flow far = new Flow("b", new WorkspaceId("far"));

  /** Guards against a hot workspace whose excess stays in the queue until its wait has run out. */
  @Test
  void refusesOnlyTheExcessOfTheHotWorkspace() {
    arrive(hot, 100, 10);
    arrive(other, 10, 3);
    arrive(far, 10, 3);
    assertTrue(exceeded(hot));
    assertFalse(exceeded(other));
    assertFalse(exceeded(far));
  }

  /** Guards against a workspace alone that gets only a part of the idle capacity. */
  @Test
  void leavesTheWholeQueueToAWorkspaceAlone() {
    arrive(hot, 40, 14);
    assertFalse(exceeded(hot));
  }

  @Test
  void dividesCapacityByWeight() {
    MaxMinLevel.Demand small = new MaxMinLevel.Demand(2, 1);
    MaxMinLevel.Demand large = new MaxMinLevel.Demand(90, 2);
    MaxMinLevel.Demand hungry = new MaxMinLevel.Demand(90, 1);
    assertEquals(10, MaxMinLevel.of(List.of(hungry, small, large), 32));
    assertEquals(Double.POSITIVE_INFINITY, MaxMinLevel.of(List.of(small, large), 92));
  }

  private boolean exceeded(Flow flow) {
    return shares.exceeded(flow, 1, PER_MILLI, LONGEST, NOW);
  }

  private void arrive(Flow flow, int arrivals, int waiting) {
    for (int i = 0; i < arrivals; i++) {
      shares.arrived(flow, 1, NOW);
    }
    for (int i = 0; i < waiting; i++) {
      shares.added(flow, 1);
    }
  }
}
