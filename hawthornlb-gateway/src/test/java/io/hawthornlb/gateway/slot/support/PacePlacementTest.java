package io.hawthornlb.gateway.slot.support;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.hawthornlb.core.pace.LearnedPace;
import io.hawthornlb.core.pace.LearnedPaces;
import io.hawthornlb.core.pace.support.ObservedPaceTable;
import io.hawthornlb.gateway.endpoint.EndpointRecord;
import io.hawthornlb.gateway.slot.SlotAnswer;
import io.hawthornlb.gateway.slot.SlotOutcome;
import io.hawthornlb.gateway.slot.SlotRequest;
import io.hawthornlb.gateway.wire.ReportedLoad;
import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;

class PacePlacementTest {

  private final CoordinatorFixture fixture = new CoordinatorFixture();
  private final ObservedPaceTable paces = new ObservedPaceTable();
  private final Map<String, Integer> used = new HashMap<>();
  private final PacePlacement placement = new PacePlacement(new NearestPlacement(), paces);

  PacePlacementTest() {
    fixture.endpoint("usual", "a", 8).endpoint("fast", "a", 8).endpoint("slow", "a", 8);
    fixture.endpoint("far", "b", 8);
    paces.restore(
        new LearnedPaces(
            Map.of(
                "usual", new LearnedPace(1, 100),
                "fast", new LearnedPace(0.6, 100),
                "slow", new LearnedPace(1.6, 100),
                "far", new LearnedPace(0.6, 100))),
        fixture.now);
  }

  /** Guards against a change of placement at services that report no pace. */
  @Test
  void placesByUseAloneWithoutReports() {
    used.putAll(Map.of("fast", 1, "usual", 1));
    assertEquals("slow", chosen());
  }

  @Test
  void choosesTheLeastTimeInTheDataCentre() {
    paces.reported("usual", 100, fixture.now);
    assertEquals("fast", chosen());
    used.put("fast", 6);
    assertEquals("usual", chosen());
  }

  /** Guards against requests to an endpoint that has just turned slow while another is free. */
  @Test
  void usesAnEndpointThatTurnedSlowOnlyIfNoOtherIsFree() {
    paces.reported("fast", 250, fixture.now);
    assertEquals("usual", chosen());
    paces.reported("usual", 250, fixture.now);
    assertEquals("slow", chosen());
    paces.reported("slow", 250, fixture.now);
    assertEquals("fast", chosen());
    paces.reported("slow", 100, fixture.now);
    assertEquals("slow", chosen());
    fixture.advance(Duration.ofMillis(600));
    assertEquals("fast", chosen());
  }

  /** Guards against an online request that preempts an item only to run slowly. */
  @Test
  void prefersToPreemptItemsAtEndpointsThatAreNotSlow() {
    paces.reported("usual", 250, fixture.now);
    assertTrue(prefers("fast"));
    assertFalse(prefers("usual"));
    assertFalse(prefers("slow"));
    assertFalse(prefers("far"));
  }

  /** Guards against an endpoint that gains capacity, for wait estimates, by what it reports. */
  @Test
  void weightsCapacityByLongTermPaceAlone() {
    SlotLeases leases = new SlotLeases(fixture.directory);
    SlotSettings settings = SlotSettings.DEFAULT;
    SlotSearch search =
        new SlotSearch(
            CoordinatorFixture.SERVICE,
            fixture.directory,
            settings,
            leases,
            new Penalties(settings),
            new OutlierDetector(settings),
            new UntrackedLoad(),
            paces);
    assertEquals(32, search.capacity());
    paces.reported("usual", 10, fixture.now);
    // The median of 0.6, 0.6, 1 and 1.6 is 1.
    assertEquals(8 / 0.6 + 8 / 0.6 + 8 + 8 / 1.6, search.capacity(), 0.001);
  }

  /** Guards against a slot that counts as in use because of a report that was sent for its pace. */
  @Test
  void countsNoUntrackedLoadByAPaceReport() {
    CoordinatorFixture single = new CoordinatorFixture().endpoint("e1", "a", 2);
    SlotRequest first = single.online("a");
    single.granted(first);
    single.coordinator.reportLoad(first.key(), new ReportedLoad(2, 0, 250), single.now);
    assertEquals("e1", single.granted(single.online("a")));
  }

  /** Guards against a coordinator that learns no pace from the uses of its slots. */
  @Test
  void learnsThePaceOfEndpointsFromTheirAnswers() {
    CoordinatorFixture two = new CoordinatorFixture().endpoint("e1", "a", 1).endpoint("e2", "a", 1);
    for (int i = 0; i < 60; i++) {
      SlotRequest first = two.online("a");
      SlotRequest second = two.online("a");
      SlotRequest atSlow = two.granted(first).equals("e1") ? first : second;
      two.granted(second);
      two.coordinator.reportLoad(atSlow.key(), new ReportedLoad(1, 0, 100), two.now);
      two.advance(Duration.ofMillis(400));
      two.release(atSlow.equals(first) ? second : first, SlotOutcome.ANSWERED);
      two.advance(Duration.ofMillis(400));
      List<SlotAnswer> answers = two.release(atSlow, SlotOutcome.ANSWERED);
      assertEquals(List.of(), answers);
    }
    assertEquals("e2", two.granted(two.online("a")));
  }

  private boolean prefers(String endpoint) {
    return placement.prefers(fixture.directory.find(endpoint).orElseThrow(), "a", fixture.now);
  }

  private String chosen() {
    return placement
        .choose(
            fixture.directory.usable(CoordinatorFixture.SERVICE),
            "a",
            endpoint -> used.getOrDefault(endpoint.id(), 0),
            fixture.now)
        .map(EndpointRecord::id)
        .orElseThrow();
  }
}
