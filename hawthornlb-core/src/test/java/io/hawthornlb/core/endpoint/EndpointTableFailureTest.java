package io.hawthornlb.core.endpoint;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.hawthornlb.core.effect.BroadcastPeerMessage;
import io.hawthornlb.core.effect.Effect;
import io.hawthornlb.core.endpoint.support.ListedEndpointTable;
import io.hawthornlb.core.endpoint.support.ObservedEndpointTable;
import io.hawthornlb.core.membership.ListedKind;
import io.hawthornlb.core.membership.ListedProcess;
import io.hawthornlb.core.membership.ListedState;
import io.hawthornlb.core.model.DataCentre;
import io.hawthornlb.core.model.EndpointId;
import io.hawthornlb.core.model.ServiceName;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.Size;
import org.junit.jupiter.api.Test;

class EndpointTableFailureTest {

  private static final ServiceName SERVICE = new ServiceName("brief-llm");
  private static final EndpointId FIRST = new EndpointId("engine-0");
  private static final int ENGINES = 6;

  private final EndpointTable naive = new ListedEndpointTable();
  private final EndpointTable guarded = new ObservedEndpointTable(EndpointTableSettings.DEFAULT);

  // A coordinator's request is refused by an engine that shuts down: the engine has said that it
  // is leaving, but the list still has it as live for 20 s more, and requests go on to it.
  @Test
  void aRefusalOfALeavingEndpointCountsAtOnce() {
    for (EndpointTable table : List.of(naive, guarded)) {
      table.onList(list(ListedState.LIVE), at(0), at(0));
      table.onObservation(FIRST, Observation.LEAVING, at(1));
      table.onList(list(ListedState.LIVE), at(2), at(2));
    }
    assertTrue(naive.find(FIRST).orElseThrow().accepts(at(4)), "the naive twin");
    assertEquals(EndpointState.LEAVING, guarded.find(FIRST).orElseThrow().state(at(4)));
  }

  // The same at another entry: the refusal is known at one entry, and each of the other twelve
  // sends one more request to find out for itself.
  @Test
  void peersHearThatAnEndpointIsLeaving() {
    EndpointTable peer = new ObservedEndpointTable(EndpointTableSettings.DEFAULT);
    guarded.onList(list(ListedState.LIVE), at(0), at(0));
    peer.onList(list(ListedState.LIVE), at(0), at(0));
    List<Effect> effects = guarded.onObservation(FIRST, Observation.LEAVING, at(1));
    BroadcastPeerMessage spread = (BroadcastPeerMessage) effects.get(0);
    peer.onNotice((EndpointNotice) spread.message(), at(1));
    assertFalse(peer.find(FIRST).orElseThrow().accepts(at(1)));
    assertEquals(List.of(), guarded.onObservation(FIRST, Observation.LEAVING, at(2)));
  }

  // An engine that shuts down gets requests again and again: copies of the list differ, and each
  // answer that still has it as live brings it back.
  @Property(tries = 200, seed = "20261202")
  void aFlappingListBringsNoLeavingEndpointBack(@ForAll @Size(max = 25) List<Boolean> answers) {
    EndpointTable table = new ObservedEndpointTable(EndpointTableSettings.DEFAULT);
    table.onList(list(ListedState.LIVE), at(0), at(0));
    table.onList(list(ListedState.LEAVING), at(1), at(1));
    int second = 1;
    for (boolean live : answers) {
      second++;
      table.onList(list(live ? ListedState.LIVE : ListedState.LEAVING), at(second), at(second));
      assertFalse(table.find(FIRST).orElseThrow().accepts(at(second)));
    }
  }

  @Test
  void anEndpointThatStaysListedAsLiveComesBackSlowly() {
    guarded.onList(list(ListedState.LEAVING), at(0), at(0));
    guarded.onList(list(ListedState.LIVE), at(31), at(31));
    Endpoint endpoint = guarded.find(FIRST).orElseThrow();
    assertTrue(endpoint.accepts(at(31)));
    assertTrue(endpoint.startWeight(at(32)) < 0.2);
    assertEquals(1, endpoint.startWeight(at(42)));
  }

  // All requests are refused for want of endpoints: the platform restarts and answers with an
  // empty list, which is believed.
  @Test
  void anEmptyListTakesNothingOutOfService() {
    for (EndpointTable table : List.of(naive, guarded)) {
      table.onList(list(ListedState.LIVE), at(0), at(0));
      table.onList(List.of(), at(1), at(1));
    }
    assertEquals(0, naive.of(SERVICE).size(), "the naive twin");
    long taking = guarded.of(SERVICE).stream().filter(e -> e.accepts(at(10))).count();
    assertEquals(ENGINES, taking);
  }

  @Test
  void anEndpointMissingFromTheListIsGoneAfterTheGrace() {
    guarded.onList(list(ListedState.LIVE), at(0), at(0));
    List<ListedProcess> rest = list(ListedState.LIVE).subList(1, ENGINES);
    guarded.onList(rest, at(1), at(1));
    assertTrue(guarded.find(FIRST).orElseThrow().accepts(at(2)), "one list may omit it");
    guarded.onList(rest, at(4), at(4));
    assertFalse(guarded.of(SERVICE).stream().anyMatch(e -> e.id().equals(FIRST)));
  }

  // Requests to one engine hang one after the other: a connection has gone silent, new ones are
  // opened, and the router goes on choosing the engine because it looks idle.
  @Test
  void aSilentEndpointGetsNothingUntilAProbeEndsWell() {
    for (EndpointTable table : List.of(naive, guarded)) {
      table.onList(list(ListedState.LIVE), at(0), at(0));
      table.onObservation(FIRST, Observation.SILENT, at(1));
    }
    assertTrue(naive.find(FIRST).orElseThrow().accepts(at(1)), "the naive twin");
    Endpoint endpoint = guarded.find(FIRST).orElseThrow();
    assertFalse(endpoint.accepts(at(1)));
    assertEquals(List.of(), guarded.probesDue(at(1)));
    Instant probe = at(1).plusMillis(600);
    assertEquals(List.of(endpoint), guarded.probesDue(probe));
    guarded.onObservation(FIRST, Observation.HEALTHY, probe);
    assertTrue(endpoint.accepts(probe));
    assertTrue(endpoint.recentFailures(probe) > 0.5);
  }

  @Test
  void anOlderListOrReportIsDropped() {
    guarded.onList(list(ListedState.LEAVING), at(5), at(5));
    guarded.onList(list(ListedState.LIVE), at(4), at(60));
    assertFalse(guarded.find(FIRST).orElseThrow().accepts(at(60)));
    guarded.onLoad(FIRST, new LoadReport(at(7), 3, 0, 16, 0, 0, 0, 0), at(8));
    guarded.onLoad(FIRST, new LoadReport(at(6), 9, 0, 16, 0, 0, 0, 0), at(8));
    assertEquals(3, guarded.find(FIRST).orElseThrow().load().orElseThrow().running());
  }

  private static List<ListedProcess> list(ListedState first) {
    List<ListedProcess> processes = new ArrayList<>();
    for (int i = 0; i < ENGINES; i++) {
      processes.add(
          new ListedProcess(
              "engine-" + i,
              ListedKind.ENDPOINT,
              Optional.of(SERVICE),
              new DataCentre("ghala"),
              "127.0.0.1:" + (9_000 + i),
              i == 0 ? first : ListedState.LIVE));
    }
    return processes;
  }

  private static Instant at(int second) {
    return Instant.EPOCH.plusSeconds(second);
  }
}
