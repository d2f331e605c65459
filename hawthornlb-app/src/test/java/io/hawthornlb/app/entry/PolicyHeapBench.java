package io.hawthornlb.app.entry;

import io.hawthornlb.core.admission.AdmissionRequest;
import io.hawthornlb.core.admission.Demand;
import io.hawthornlb.core.admission.DemandDigest;
import io.hawthornlb.core.admission.ShareKey;
import io.hawthornlb.core.admission.support.DemandShareExchange;
import io.hawthornlb.core.endpoint.EndpointTable;
import io.hawthornlb.core.endpoint.EndpointTableSettings;
import io.hawthornlb.core.endpoint.LoadReport;
import io.hawthornlb.core.endpoint.support.ObservedEndpointTable;
import io.hawthornlb.core.model.InstanceId;
import io.hawthornlb.core.model.RequestClass;
import io.hawthornlb.core.model.RequestId;
import io.hawthornlb.core.model.WorkspaceId;
import io.hawthornlb.core.routing.InFlight;
import io.hawthornlb.core.routing.InFlightDigest;
import io.hawthornlb.core.routing.RouteRequest;
import io.hawthornlb.core.routing.support.DefaultInFlightTracker;
import io.hawthornlb.core.routing.support.HintPrefixIndex;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Set;
import org.junit.jupiter.api.Tag;
import org.junit.jupiter.api.Test;

/** Measures heap use and CPU time of the state of endpoints, peers and workspaces at an entry. */
@Tag("bench")
class PolicyHeapBench {

  private static final Instant NOW = CapacityFixture.START;
  private static final InstanceId SELF = new InstanceId("entry-0");
  private static final int PEERS = 390;

  /** Keeps the measured state reachable until the heap use has been read. */
  private Object kept = SELF;

  @Test
  void endpoints() {
    for (int endpoints : new int[] {100, 600, 2_400}) {
      long before = CapacityFixture.usedBytes();
      EndpointTable table = new ObservedEndpointTable(EndpointTableSettings.DEFAULT);
      table.onList(CapacityFixture.listed(endpoints), NOW, NOW);
      LoadReport report = new LoadReport(NOW, 11, 2, 16, 41_000, 60_000, 351.5, 4);
      for (int i = 0; i < endpoints; i++) {
        table.onLoad(CapacityFixture.endpoint(i), report.withBatch(i % 5), NOW);
      }
      printHeap("endpoint", endpoints, before, table);
      var listed = CapacityFixture.listed(endpoints);
      double list = CapacityFixture.cpuMicros(() -> table.onList(listed, NOW.plusMillis(1), NOW));
      print("list of %d endpoints taken in %.0f us", endpoints, list);
    }
  }

  @Test
  void countsInFlight() {
    for (int counts : new int[] {5, 20, 80}) {
      long before = CapacityFixture.usedBytes();
      DefaultInFlightTracker tracker = new DefaultInFlightTracker(SELF);
      for (int peer = 0; peer < PEERS; peer++) {
        List<InFlight> list = new ArrayList<>();
        for (int i = 0; i < counts; i++) {
          list.add(new InFlight(CapacityFixture.endpoint((peer * 7 + i) % 600), 3));
        }
        tracker.onDigest(new InFlightDigest(new InstanceId("entry-" + peer), NOW, true, list), NOW);
      }
      printHeap("count of a peer and endpoint, 390 peers", PEERS * counts, before, tracker);
    }
  }

  @Test
  void demandsOfPeers() {
    for (int keys : new int[] {250, 1_000, 4_000}) {
      long before = CapacityFixture.usedBytes();
      DemandShareExchange shares = new DemandShareExchange(SELF, CapacityFixture.dataCentre(0));
      shares.onEntries(CapacityFixture.entries(PEERS), NOW);
      Instant now = NOW;
      for (int peer = 1; peer < PEERS; peer++) {
        shares.onDigest(digest(peer, keys), now);
      }
      printHeap("key in use in the fleet, at one entry, no digest sent", keys, before, shares);
      for (int second = 0; second < 13; second++) {
        now = now.plusSeconds(1);
        for (int peer = 1; peer < 6; peer++) {
          shares.onDigest(digest(peer, keys), now);
        }
        shares.digest(now);
      }
      printHeap("key in use in the fleet, at one entry, after 13 s", keys, before, shares);
      measureDemand(shares, keys, now);
    }
  }

  private static void measureDemand(DemandShareExchange shares, int keys, Instant now) {
    Instant[] time = {now};
    double digest =
        CapacityFixture.cpuMicros(
            () -> {
              time[0] = time[0].plusSeconds(1);
              shares.onDigest(digest(1, 1), time[0]);
              for (int peer = 2; peer < 5; peer++) {
                shares.onDigest(digest(peer, 1), time[0]);
              }
              shares.onDigest(digest(5, 1), time[0]);
              shares.digest(time[0]);
            });
    double entries =
        CapacityFixture.cpuMicros(() -> shares.onEntries(CapacityFixture.entries(PEERS), time[0]));
    print(
        "%d keys: own digest and five taken %.0f us, list of 390 taken %.0f us",
        keys, digest, entries);
  }

  /** Creates a digest with every 39th key, so that one entry instance in 39 demands each key. */
  private static DemandDigest digest(int peer, int keys) {
    List<Demand> demands = new ArrayList<>();
    for (int key = peer % 39; key < keys; key += 39) {
      demands.add(new Demand(CapacityFixture.key(ShareKey.Kind.WORKSPACE, key), 1.5));
    }
    return new DemandDigest(
        new InstanceId("entry-" + peer), CapacityFixture.dataCentre(peer), 1, demands);
  }

  @Test
  void prefixes() {
    for (int prefixes : new int[] {2_000, 6_000, 20_000}) {
      long before = CapacityFixture.usedBytes();
      HintPrefixIndex index = new HintPrefixIndex(20_000);
      for (int i = 0; i < prefixes; i++) {
        String prefix = String.format("%016x", i);
        index.onRouted(CapacityFixture.endpoint(i % 600), List.of(prefix), NOW);
        index.onRouted(CapacityFixture.endpoint((i + 1) % 600), List.of(prefix), NOW);
      }
      printHeap("prefix with two holders", prefixes, before, index);
    }
  }

  @Test
  void admission() {
    for (int workspaces : new int[] {500, 5_000, 50_000}) {
      long before = CapacityFixture.usedBytes();
      OnlinePolicies policies = CapacityFixture.policies(0, 1);
      int[] next = {0};
      for (int i = 0; i < workspaces; i++) {
        offer(policies, i, next[0]++);
      }
      printHeap("workspace in use, in admission and shares of own", workspaces, before, policies);
      double decision =
          CapacityFixture.cpuMicros(
              () -> {
                offer(policies, next[0] % workspaces, next[0]);
                next[0]++;
              });
      double tick = CapacityFixture.cpuMicros(() -> policies.admission().onTick(NOW));
      print("%d workspaces: offer and finish %.1f us, tick %.0f us", workspaces, decision, tick);
    }
  }

  @Test
  void routing() {
    for (int endpoints : new int[] {100, 600, 2_400}) {
      OnlinePolicies policies = CapacityFixture.policies(endpoints, PEERS);
      Instant now = NOW.plusSeconds(120);
      LoadReport report = new LoadReport(now, 5, 0, 16, 41_000, 60_000, 351.5, 4);
      for (int i = 0; i < endpoints; i++) {
        policies.endpoints().onLoad(CapacityFixture.endpoint(i), report, now);
      }
      RouteRequest request = route(now);
      boolean routed = policies.router().choose(request, now).isRight();
      double choice = CapacityFixture.cpuMicros(() -> policies.router().choose(request, now));
      print(
          "%d endpoints: choice of the router (found one: %s) %.1f us", endpoints, routed, choice);
    }
  }

  private static RouteRequest route(Instant now) {
    return new RouteRequest(
        new RequestId("request"),
        CapacityFixture.SERVICE,
        new WorkspaceId("workspace-1"),
        RequestClass.INTERACTIVE,
        CapacityFixture.dataCentre(0),
        List.of("a-1", "b-1"),
        Set.of(),
        800,
        now.plusSeconds(30));
  }

  private static void offer(OnlinePolicies policies, int workspace, int number) {
    RequestId id = new RequestId("request-" + number);
    AdmissionRequest request =
        new AdmissionRequest(
            id,
            CapacityFixture.SERVICE,
            new WorkspaceId("workspace-" + workspace),
            RequestClass.INTERACTIVE,
            NOW.plusSeconds(30));
    policies.admission().offer(request, NOW);
    policies.admission().onFinished(id, NOW);
  }

  private void printHeap(String what, int count, long before, Object state) {
    kept = state;
    long used = CapacityFixture.usedBytes() - before;
    print("%s: %d, %.0f bytes each, %.2f MB", what, count, used / (double) count, used / 1e6);
  }

  private static void print(String format, Object... values) {
    System.out.println("| " + String.format(Locale.ROOT, format, values) + " |");
  }
}
