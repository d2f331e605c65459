package io.hawthornlb.gateway.slot.support;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;

import io.hawthornlb.core.work.LearnedWork;
import io.hawthornlb.core.work.WorkSize;
import io.hawthornlb.gateway.endpoint.EndpointDirectory;
import io.hawthornlb.gateway.endpoint.EndpointIncarnation;
import io.hawthornlb.gateway.slot.SchedulingSettings;
import io.hawthornlb.gateway.slot.SlotKey;
import java.time.Duration;
import java.time.Instant;
import org.junit.jupiter.api.Test;

class ServiceEstimatesTest {

  private static final Instant NOW = Instant.parse("2026-01-01T00:00:00Z");
  private static final WorkSize SIZE = new WorkSize(450, 4_000, 200);

  private final ServiceEstimates estimates =
      new ServiceEstimates(new SchedulingSettings(true), new EndpointDirectory());

  @Test
  void learnsFromWholeUses() {
    LearnedWork before = estimates.work().export();
    estimates.answered(lease(false, true), NOW);
    assertNotEquals(before, estimates.work().export());
  }

  /** Guards against lengths that are learned from the rest of a resumed or adopted request. */
  @Test
  void learnsNothingFromPartialUses() {
    LearnedWork before = estimates.work().export();
    estimates.answered(lease(false, false), NOW);
    estimates.answered(lease(true, false), NOW);
    assertEquals(before, estimates.work().export());
  }

  /** Guards against online requests that are estimated as long as batch items. */
  @Test
  void keepsTheUsualLengthWhenItemsEnd() {
    for (int i = 0; i < 50; i++) {
      estimates.answered(lease(false, true), NOW);
    }
    LearnedWork before = estimates.work().export();
    estimates.answered(lease(true, true), NOW);
    LearnedWork after = estimates.work().export();
    assertEquals(before.usualOutputMillis(), after.usualOutputMillis());
    assertNotEquals(before.outputTokenMillis(), after.outputTokenMillis());
  }

  /** Guards against a deployment without the settings that decides by other figures than before. */
  @Test
  void learnsNothingWhereThePartIsNotInEffect() {
    ServiceEstimates inactive =
        new ServiceEstimates(SchedulingSettings.DEFAULT, new EndpointDirectory());
    LearnedWork before = inactive.work().export();
    inactive.answered(lease(false, true), NOW);
    assertEquals(before, inactive.work().export());
  }

  private static SlotLease lease(boolean batch, boolean whole) {
    Instant since = NOW.minus(batch ? Duration.ofSeconds(4) : Duration.ofMillis(700));
    return new SlotLease(
        new SlotKey("holder", 1),
        EndpointIncarnation.ofUnknownStart("e1"),
        "a",
        "a",
        batch,
        0,
        Duration.ZERO,
        false,
        1,
        SIZE,
        null,
        whole,
        since,
        since,
        false);
  }
}
