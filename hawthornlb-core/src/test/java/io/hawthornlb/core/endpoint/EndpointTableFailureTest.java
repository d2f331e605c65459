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

  private final EndpointTable listOnly = new ListedEndpointTable();
  private final EndpointTable observing = new ObservedEndpointTable(EndpointTableSettings.DEFAULT);

  // Guards against requests that are sent to an engine that shuts down and refuses them: the
  // engine has reported that it is leaving, but the list shows it as live for 20 s more.
  @Test
  void aReportOfLeavingTakesEffectAtOnce() {
    for (EndpointTable table : List.of(listOnly, observing)) {
      table.onList(list(ListedState.LIVE), at(0), at(0));
      table.onObservation(FIRST, Observation.LEAVING, at(1));
      table.onList(list(ListedState.LIVE), at(2), at(2));
    }
    assertTrue(listOnly.find(FIRST).orElseThrow().accepts(at(4)), "the baseline");
    assertEquals(EndpointState.LEAVING, observing.find(FIRST).orElseThrow().state(at(4)));
  }

  // Guards against each of 13 entry instances losing a request to the same leaving engine: one of
  // them knows the refusal, and each of the other twelve would send one more request to find out.
  @Test
  void peersAreInformedThatAnEndpointIsLeaving() {
    EndpointTable peer = new ObservedEndpointTable(EndpointTableSettings.DEFAULT);
    observing.onList(list(ListedState.LIVE), at(0), at(0));
    peer.onList(list(ListedState.LIVE), at(0), at(0));
    List<Effect> effects = observing.onObservation(FIRST, Observation.LEAVING, at(1));
    BroadcastPeerMessage spread = (BroadcastPeerMessage) effects.get(0);
    peer.onNotice((EndpointNotice) spread.message(), at(1));
    assertFalse(peer.find(FIRST).orElseThrow().accepts(at(1)));
    assertEquals(List.of(), observing.onObservation(FIRST, Observation.LEAVING, at(2)));
  }

  // Guards against an engine that shuts down and gets requests again and again: copies of the list
  // differ, and each list that still shows the engine as live would bring it back into service.
  @Property(tries = 200, seed = "20261202")
  void aFlappingListDoesNotBringALeavingEndpointBack(
      @ForAll @Size(max = 25) List<Boolean> liveInList) {
    EndpointTable table = new ObservedEndpointTable(EndpointTableSettings.DEFAULT);
    table.onList(list(ListedState.LIVE), at(0), at(0));
    table.onList(list(ListedState.LEAVING), at(1), at(1));
    int second = 1;
    for (boolean live : liveInList) {
      second++;
      table.onList(list(live ? ListedState.LIVE : ListedState.LEAVING), at(second), at(second));
      assertFalse(table.find(FIRST).orElseThrow().accepts(at(second)));
    }
  }

  @Test
  void anEndpointThatStaysListedAsLiveReturnsWithASlowStart() {
    observing.onList(list(ListedState.LEAVING), at(0), at(0));
    observing.onList(list(ListedState.LIVE), at(31), at(31));
    Endpoint endpoint = observing.find(FIRST).orElseThrow();
    assertTrue(endpoint.accepts(at(31)));
    assertTrue(endpoint.startWeight(at(32)) < 0.2);
    assertEquals(1, endpoint.startWeight(at(42)));
  }

  // Guards against refusing all requests for lack of endpoints, because a restarting platform
  // returns an empty list and the table trusts it.
  @Test
  void anEmptyListTakesNoEndpointOutOfService() {
    for (EndpointTable table : List.of(listOnly, observing)) {
      table.onList(list(ListedState.LIVE), at(0), at(0));
      table.onList(List.of(), at(1), at(1));
    }
    assertEquals(0, listOnly.of(SERVICE).size(), "the baseline");
    long accepting = observing.of(SERVICE).stream().filter(e -> e.accepts(at(10))).count();
    assertEquals(ENGINES, accepting);
  }

  @Test
  void anEndpointMissingFromTheListIsGoneAfterTheGrace() {
    observing.onList(list(ListedState.LIVE), at(0), at(0));
    List<ListedProcess> rest = list(ListedState.LIVE).subList(1, ENGINES);
    observing.onList(rest, at(1), at(1));
    assertTrue(observing.find(FIRST).orElseThrow().accepts(at(2)), "one list may omit it");
    observing.onList(rest, at(4), at(4));
    assertFalse(observing.of(SERVICE).stream().anyMatch(e -> e.id().equals(FIRST)));
  }

  // Guards against requests that hang at an engine one after the other: a connection has gone
  // silent, new ones are opened, and the router keeps choosing the engine because it looks idle.
  @Test
  void aSilentEndpointGetsNoRequestsUntilAProbeSucceeds() {
    for (EndpointTable table : List.of(listOnly, observing)) {
      table.onList(list(ListedState.LIVE), at(0), at(0));
      table.onObservation(FIRST, Observation.SILENT, at(1));
    }
    assertTrue(listOnly.find(FIRST).orElseThrow().accepts(at(1)), "the baseline");
    Endpoint endpoint = observing.find(FIRST).orElseThrow();
    assertFalse(endpoint.accepts(at(1)));
    assertEquals(List.of(), observing.probesDue(at(1)));
    Instant probe = at(1).plusMillis(600);
    assertEquals(List.of(endpoint), observing.probesDue(probe));
    observing.onObservation(FIRST, Observation.HEALTHY, probe);
    assertTrue(endpoint.accepts(probe));
    assertTrue(endpoint.recentFailures(probe) > 0.5);
  }

  @Test
  void anOlderListOrReportIsDropped() {
    observing.onList(list(ListedState.LEAVING), at(5), at(5));
    observing.onList(list(ListedState.LIVE), at(4), at(60));
    assertFalse(observing.find(FIRST).orElseThrow().accepts(at(60)));
    observing.onLoad(FIRST, new LoadReport(at(7), 3, 0, 16, 0, 0, 0, 0), at(8));
    observing.onLoad(FIRST, new LoadReport(at(6), 9, 0, 16, 0, 0, 0, 0), at(8));
    assertEquals(3, observing.find(FIRST).orElseThrow().load().orElseThrow().running());
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
