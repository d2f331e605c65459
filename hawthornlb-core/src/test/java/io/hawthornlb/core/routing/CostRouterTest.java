package io.hawthornlb.core.routing;

import static io.hawthornlb.core.routing.RouterFixture.NOW;
import static io.hawthornlb.core.routing.RouterFixture.id;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.hawthornlb.core.endpoint.Observation;
import io.hawthornlb.core.model.EndpointId;
import io.hawthornlb.core.model.RefusalReason;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.junit.jupiter.api.Test;

class CostRouterTest {

  private static final RouterSettings ALL = RouterSettings.builder().build();

  // Guards against sending all requests of a burst to the engine that was idle a second ago: each
  // of 13 entry instances uses the same old load report, and none counts the requests that the
  // others have sent since.
  @Test
  void requestsSinceALoadReportCorrectIt() {
    RouterSettings without = RouterSettings.builder().without(RouterTerm.IN_FLIGHT).build();
    assertTrue(mostAtOneEngine(without) >= 100, "without the correction by requests in flight");
    assertTrue(
        mostAtOneEngine(ALL) <= 30, () -> "most requests at one engine: " + mostAtOneEngine(ALL));
  }

  @Test
  void aRequestGoesToTheEndpointThatCachesItsPrefixUnlessItIsFull() {
    RouterFixture fixture = new RouterFixture(5, ALL);
    for (int i = 0; i < 5; i++) {
      fixture.table.onLoad(id(i), RouterFixture.report(4, 1), NOW);
    }
    fixture.prefixes.onRouted(id(3), List.of("p"), NOW);
    assertEquals(id(3), choose(fixture, 1, List.of("p")));
    for (int i = 0; i < 30; i++) {
      fixture.inFlight.onStarted(id(3), NOW);
    }
    assertTrue(!choose(fixture, 1, List.of("p")).equals(id(3)));
  }

  // Guards against routing requests by a prefix that was evicted long ago, because the events that
  // reported the evictions were lost; answers would then begin late although the cache seemed
  // warm.
  @Test
  void aHintCountsLessAfterAGapAndIsVoidAfterARestart() {
    PrefixIndex index = new RouterFixture(5, ALL).prefixes;
    index.onEvents(id(0), List.of(event(1, PrefixEvent.Kind.STORED)), NOW);
    double before = index.confidence(id(0), "p", NOW.plusSeconds(1));
    PrefixEvent late = new PrefixEvent(5, "q", PrefixEvent.Kind.STORED);
    index.onEvents(id(0), List.of(late), NOW.plusSeconds(1));
    assertTrue(index.confidence(id(0), "p", NOW.plusSeconds(1)) < 0.6 * before);
    index.onLost(id(0), NOW.plusSeconds(1));
    assertEquals(0, index.confidence(id(0), "p", NOW.plusSeconds(1)));
  }

  @Test
  void excludedSuspectAndQuarantinedEndpointsAreNotChosen() {
    RouterFixture fixture = new RouterFixture(4, ALL);
    fixture.table.onObservation(id(1), Observation.CRASH, NOW);
    fixture.table.quarantine(id(2), NOW.plusSeconds(60));
    for (int i = 0; i < 50; i++) {
      RouteRequest request = fixture.request(i, List.of(), Set.of(id(0)));
      assertEquals(id(3), fixture.router.choose(request, NOW).get().endpoint());
    }
    Set<EndpointId> all = Set.of(id(0), id(1), id(2), id(3));
    var refusal = fixture.router.choose(fixture.request(1, List.of(), all), NOW).getLeft();
    assertEquals(RefusalReason.NO_ENDPOINT, refusal.reason());
    assertTrue(refusal.retryAfter().isPresent());
  }

  @Test
  void theLocalDataCentreIsPreferredIfItHasFreeSlots() {
    RouterFixture fixture = new RouterFixture(600, ALL);
    for (int i = 0; i < 600; i++) {
      fixture.table.onLoad(id(i), RouterFixture.report(0, 1), NOW);
    }
    long near =
        java.util.stream.IntStream.range(0, 200)
            .filter(
                i ->
                    fixture
                        .router
                        .choose(fixture.request(i, List.of(), Set.of()), NOW)
                        .get()
                        .dataCentre()
                        .equals(RouterFixture.centre(i)))
            .count();
    assertEquals(200, near);
  }

  // Guards against counts of a peer that stay wrong forever because a digest was lost: the
  // receiver would still count requests at an endpoint after the peer has ended all of its own
  // there.
  @Test
  void aWholeDigestCorrectsALostOne() {
    InFlightTracker sender = new RouterFixture(1, 5, ALL).inFlight;
    InFlightTracker receiver = new RouterFixture(2, 5, ALL).inFlight;
    sender.onStarted(id(0), NOW);
    sender.digest(NOW).ifPresent(digest -> receiver.onDigest(digest, NOW));
    assertEquals(1, receiver.total(id(0)));
    sender.onFinished(id(0), NOW);
    sender.digest(NOW.plusMillis(100));
    assertEquals(Optional.empty(), sender.digest(NOW.plusMillis(200)));
    sender.digest(NOW.plusSeconds(6)).ifPresent(d -> receiver.onDigest(d, NOW.plusSeconds(6)));
    assertEquals(0, receiver.total(id(0)));
  }

  private static int mostAtOneEngine(RouterSettings settings) {
    List<RouterFixture> entries = new ArrayList<>();
    for (int i = 0; i < 13; i++) {
      RouterFixture fixture = new RouterFixture(i, 13, settings);
      for (int engine = 0; engine < 13; engine++) {
        fixture.table.onLoad(id(engine), RouterFixture.report(engine == 4 ? 0 : 8, 1), NOW);
      }
      entries.add(fixture);
    }
    Map<EndpointId, Integer> sent = new HashMap<>();
    for (int i = 0; i < 130; i++) {
      RouterFixture entry = entries.get(i % 13);
      EndpointId chosen = choose(entry, 4, List.of());
      entry.inFlight.onStarted(chosen, NOW);
      sent.merge(chosen, 1, Integer::sum);
      if (i % 13 == 12) {
        exchange(entries);
      }
    }
    return new HashSet<>(sent.values()).stream().mapToInt(Integer::intValue).max().orElse(0);
  }

  private static void exchange(List<RouterFixture> entries) {
    for (RouterFixture from : entries) {
      from.inFlight
          .digest(NOW)
          .ifPresent(
              digest ->
                  entries.stream()
                      .filter(to -> to != from)
                      .forEach(to -> to.inFlight.onDigest(digest, NOW)));
    }
  }

  private static EndpointId choose(RouterFixture fixture, int origin, List<String> prefix) {
    RouteRequest request = fixture.request(origin, prefix, Set.of());
    return fixture.router.choose(request, NOW).get().endpoint();
  }

  private static PrefixEvent event(long sequence, PrefixEvent.Kind kind) {
    return new PrefixEvent(sequence, "p", kind);
  }
}
