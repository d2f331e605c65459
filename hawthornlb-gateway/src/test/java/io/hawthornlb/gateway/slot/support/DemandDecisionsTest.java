package io.hawthornlb.gateway.slot.support;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.hawthornlb.gateway.endpoint.EndpointDirectory;
import io.hawthornlb.gateway.endpoint.EndpointIncarnation;
import io.hawthornlb.gateway.slot.SchedulingSettings;
import io.hawthornlb.gateway.slot.SlotRequest;
import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;

/** Decisions of a coordinator that use the forecast, without and with a recognized cycle. */
class DemandDecisionsTest {

  private static final SchedulingSettings CONTENDED = new SchedulingSettings(true);

  private final CoordinatorFixture fixture = new CoordinatorFixture();
  private final ServiceEstimates estimates = new ServiceEstimates(CONTENDED, fixture.directory);
  private final RetryTime retryTime = new RetryTime(estimates.demand());

  /** Lets requests of 0.5 s arrive, which use 10 slots in a trough and 110 at a peak. */
  private void playCycles(int millis) {
    SlotRequest request = fixture.online("a");
    for (int at = 0; at < millis; at += 50, fixture.advance(Duration.ofMillis(50))) {
      for (int i = 0; i < (at % 6_000 < 3_600 ? 1 : 11); i++) {
        estimates.arrived(request, fixture.now);
      }
    }
  }

  private SlotLease item(long due, int work, int sinceMillis) {
    SlotRequest request = fixture.item(Instant.ofEpochMilli(due), Duration.ofMillis(work));
    Instant since = fixture.now.minusMillis(sinceMillis);
    boolean late = due == 0;
    return new SlotLease(
        request.key(),
        EndpointIncarnation.ofUnknownStart("e"),
        "a",
        "a",
        true,
        request.rank(),
        request.work(),
        late,
        0,
        request.size(),
        null,
        true,
        since,
        since,
        false);
  }

  /** Returns what a refused caller is told where nobody waits and 50 slots exist. */
  private Duration told(int expected, Duration overload) {
    Duration queue = estimates.untilSlot(Duration.ZERO, expected, 50);
    return retryTime.of(queue, queue, 50, overload, fixture.now);
  }

  /** Guards against work that is done twice because an item with much progress is revoked. */
  @Test
  void revokesTheItemThatLosesLeast() {
    SlotLease late = item(0, 4_000, 1_000);
    SlotLease begun = item(1, 4_000, 100);
    SlotLease advanced = item(3, 4_000, 2_000);
    SlotLease nearlyDone = item(2, 50, 45);
    List<SlotLease> items = List.of(nearlyDone, begun, late, advanced);
    Set<String> endpoints = Set.of("e");
    ItemRevocation byLoss = new ItemRevocation(estimates);
    assertEquals(late, byLoss.choose(items, endpoints, fixture.now));
    items = List.of(nearlyDone, begun, advanced);
    assertEquals(begun, byLoss.choose(items, endpoints, fixture.now));
    items = List.of(nearlyDone, advanced);
    assertEquals(advanced, byLoss.choose(items, endpoints, fixture.now));
    ItemRevocation asBefore =
        new ItemRevocation(new ServiceEstimates(SchedulingSettings.DEFAULT, fixture.directory));
    items = List.of(nearlyDone, begun, advanced);
    assertEquals(advanced, asBefore.choose(items, endpoints, fixture.now));
  }

  /** Guards against an item that starts although its slot is needed a moment later. */
  @Test
  void startsNoItemJustBeforeThePeak() {
    SlotLeases leases = new SlotLeases(new EndpointDirectory());
    ItemHeadroom headroom = new ItemHeadroom(SlotSettings.DEFAULT, leases, estimates);
    SlotRequest item = fixture.item(fixture.now, Duration.ofSeconds(4));
    assertTrue(headroom.allows(item, 5, fixture.now));
    playCycles(24_000 + 2_000);
    assertTrue(headroom.allows(item, 5, fixture.now), "long before the peak");
    fixture.advance(Duration.ofMillis(1_400));
    assertFalse(headroom.allows(item, 5, fixture.now), "just before the peak");
    assertTrue(headroom.allows(item, 200, fixture.now), "enough slots stay free");
  }

  /** Guards against refused callers that return into the peak, or all at the same moment. */
  @Test
  void tellsWhenThePeakEndsAndEachCallerALaterTime() {
    Duration overload = Duration.ofMillis(300);
    assertEquals(310, told(0, overload).toMillis());
    assertEquals(410, told(10, overload).toMillis());
    playCycles(24_000 + 4_400);
    Duration first = told(0, overload);
    assertEquals(1_600 + 300, first.toMillis(), 200);
    assertTrue(told(1, overload).compareTo(first) > 0);
    assertEquals(100, told(0, Duration.ZERO).toMillis());
  }
}
