package io.hawthornlb.gateway.peer;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.hawthornlb.core.model.WorkspaceId;
import io.hawthornlb.core.workspace.LimitDecision;
import io.hawthornlb.core.workspace.Workspace;
import io.hawthornlb.core.workspace.WorkspaceLimit;
import io.hawthornlb.core.workspace.support.DefaultWorkspaceRegistry;
import io.hawthornlb.gateway.VirtualLoop;
import io.hawthornlb.gateway.route.CallerLimits;
import io.hawthornlb.gateway.route.ConfigHolder;
import io.hawthornlb.gateway.route.Route;
import io.hawthornlb.gateway.route.RouteKind;
import io.hawthornlb.gateway.route.RoutingConfig;
import io.hawthornlb.gateway.route.ServiceShare;
import io.hawthornlb.gateway.slot.SlotKey;
import io.hawthornlb.gateway.slot.SlotRequest;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
import org.jspecify.annotations.Nullable;
import org.junit.jupiter.api.Test;

class FleetQuotaTest {

  private static final WorkspaceId FARM = new WorkspaceId("farm");
  private static final List<String> SERVICES = List.of("engine", "lookup");
  private static final List<String> DATA_CENTRES = List.of("a", "b", "c", "d");
  private static final int RATE = 40;
  private static final int BURST = 40;

  private final VirtualLoop time = new VirtualLoop();
  private final Map<String, Node> nodes = new LinkedHashMap<>();
  private final Set<String> down = new HashSet<>();
  private long version;
  private long numbers;
  private @Nullable String cut;

  FleetQuotaTest() {
    for (String dataCentre : DATA_CENTRES) {
      for (int i = 1; i <= 3; i++) {
        nodes.put(dataCentre + i, new Node(instance(dataCentre + i)));
      }
    }
    nodes.values().forEach(node -> nodes.keySet().forEach(each -> node.fleet.put(instance(each))));
    configure(new WorkspaceLimit(RATE, BURST));
    // The ledgers of a new process fill within a burst's time.
    time.advance(Duration.ofSeconds(3));
    for (int i = 0; i < 20; i++) {
      chatter();
      time.advance(Duration.ofMillis(100));
    }
  }

  /** A process whose datagrams arrive unless it is down or on the other side of the cut. */
  private final class Node implements PeerTransport {

    private final GatewayInstance self;
    private final FleetView fleet;
    private final ConfigHolder config = new ConfigHolder();
    private final List<Consumer<PeerCodec.Envelope>> receivers = new ArrayList<>();
    private final FleetQuota quota;

    private Node(GatewayInstance self) {
      this.self = self;
      this.fleet = new FleetView(self);
      this.quota = new FleetQuota(fleet, this, config, time.loop(), time);
    }

    @Override
    public void send(GatewayInstance to, PeerMessage message) {
      Node target = nodes.get(to.name());
      boolean reached = to.dataCentre().equals(cut) == self.dataCentre().equals(cut);
      if (reached && !down.contains(self.name()) && !down.contains(to.name())) {
        byte[] bytes = PeerCodec.encode(new PeerCodec.Envelope(self.name(), message));
        time.loop()
            .execute(() -> target.receivers.forEach(each -> each.accept(PeerCodec.decode(bytes))));
      }
    }

    @Override
    public void onMessage(Consumer<PeerCodec.Envelope> receiver) {
      receivers.add(receiver);
    }
  }

  /** Guards against a workspace that gets its limit once for each service that it calls. */
  @Test
  void countsTheRequestsToAllServicesTogether() {
    int allowed = 0;
    for (int tenths = 0; tenths < 50; tenths++) {
      for (int i = 0; i < 20; i++) {
        allowed += ask(SERVICES.get(i % 2)).allowed() ? 1 : 0;
      }
      time.advance(Duration.ofMillis(100));
    }
    assertTrue(allowed <= most(5), allowed + " allowed");
    assertTrue(allowed >= RATE * 5 + BURST - 10, allowed + " allowed");
  }

  /** Guards against a lost coordinator whose successor grants the whole burst again. */
  @Test
  void keepsTheLimitWhenACoordinatorIsLost() {
    int allowed = 0;
    for (int tenths = 0; tenths < 50; tenths++) {
      if (tenths == 10 || tenths == 20 || tenths == 30) {
        loseCoordinators();
      }
      for (int i = 0; i < 20; i++) {
        allowed += ask("engine").allowed() ? 1 : 0;
      }
      time.advance(Duration.ofMillis(100));
    }
    assertTrue(allowed <= most(5), allowed + " allowed");
  }

  /** Guards against two sides of a network partition that each grant the whole limit. */
  @Test
  void keepsTheLimitWhileADataCentreIsCutOff() {
    drain();
    cut = coordinator("engine").self.dataCentre();
    nodes.values().forEach(this::suspectOtherSide);
    int allowed = 0;
    for (int tenths = 0; tenths < 50; tenths++) {
      for (String side : DATA_CENTRES) {
        for (int i = 0; i < 10; i++) {
          allowed += askIn(side, "engine").allowed() ? 1 : 0;
        }
      }
      time.advance(Duration.ofMillis(100));
      nodes.values().forEach(this::suspectOtherSide);
    }
    assertTrue(allowed <= most(5), allowed + " allowed");
    assertTrue(allowed >= RATE * 5 * 0.8, allowed + " allowed");
  }

  /** Guards against refusing requests below the limit because a data centre sends no requests. */
  @Test
  void grantsTheWholeLimitWhileOtherDataCentresAreIdle() {
    time.advance(Duration.ofSeconds(30));
    for (int i = 0; i < 5; i++) {
      ask("engine");
      time.advance(Duration.ofMillis(100));
    }
    int allowed = 0;
    for (int tenths = 0; tenths < 50; tenths++) {
      for (int i = 0; i < 4; i++) {
        allowed += ask("engine").allowed() ? 1 : 0;
      }
      time.advance(Duration.ofMillis(100));
    }
    assertEquals(200, allowed);
  }

  /** Guards against a limit that is lowered in a burst but goes on as before for seconds. */
  @Test
  void appliesALowerLimitAtOnce() {
    ask("engine");
    configure(new WorkspaceLimit(4, 2));
    int allowed = 0;
    for (int tenths = 0; tenths < 50; tenths++) {
      for (int i = 0; i < 10; i++) {
        allowed += ask("engine").allowed() ? 1 : 0;
      }
      time.advance(Duration.ofMillis(100));
    }
    assertTrue(allowed <= 4 * 5 + 2 + 1, allowed + " allowed");
    assertTrue(allowed >= 4 * 5, allowed + " allowed");
  }

  /** Guards against a process that is cut off from all others and grants whole limits. */
  @Test
  void allowsLittleWhileItDecidesAlone() {
    Node alone = nodes.values().stream().filter(node -> !isFirst(node)).findFirst().orElseThrow();
    int allowed = 0;
    for (int tenths = 0; tenths < 50; tenths++) {
      for (int i = 0; i < 10; i++) {
        SlotRequest own = request("engine", alone.self.boot());
        allowed += alone.quota.charge(own, time.instant()).allowed() ? 1 : 0;
      }
      time.advance(Duration.ofMillis(100));
    }
    assertTrue(allowed <= BURST / 2, allowed + " allowed");
  }

  /** Guards against limits that shrink with each request that was allowed but found no slot. */
  @Test
  void takesBackWhatDidNotRun() {
    for (int i = 0; i < 10 * BURST; i++) {
      SlotRequest request = request("engine", "caller");
      Node coordinator = coordinator("engine");
      assertTrue(coordinator.quota.charge(request, time.instant()).allowed());
      coordinator.quota.refund(request, time.instant());
    }
  }

  /**
   * Guards against a charge that stays because another process than the coordinator knows that the
   * request has not run, and against a charge that is taken back twice.
   */
  @Test
  void takesBackWhatAnotherProcessDidNotRun() {
    Node other = nodes.values().stream().filter(node -> !isFirst(node)).findFirst().orElseThrow();
    for (int tenths = 0; tenths < 50; tenths++) {
      for (int i = 0; i < BURST / 2; i++) {
        SlotRequest request = request("engine", other.self.boot());
        Node coordinator = coordinator("engine");
        assertTrue(coordinator.quota.charge(request, time.instant()).allowed());
        other.quota.refundElsewhere(request, time.instant());
      }
      time.advance(Duration.ofMillis(100));
    }
    int allowed = 0;
    while (ask("engine").allowed()) {
      allowed++;
    }
    assertTrue(allowed <= BURST, allowed + " allowed");
  }

  /** Guards against refused callers that are all told to return at the same moment. */
  @Test
  void spreadsTheReturnOfRefusedCallers() {
    drain();
    Set<Duration> times = new HashSet<>();
    for (int i = 0; i < 20; i++) {
      LimitDecision decision = ask("engine");
      assertFalse(decision.allowed());
      times.add(decision.retryAfter());
    }
    assertEquals(20, times.size());
  }

  /** Returns the most requests that may run in a window of some seconds, by the users' rules. */
  private static double most(int seconds) {
    return (RATE * seconds + BURST) * 1.1 + 20;
  }

  private void drain() {
    while (ask("engine").allowed()) {
      // Uses the tokens up.
    }
    time.advance(Duration.ofMillis(100));
    while (ask("engine").allowed()) {
      // Uses the tokens of the wait up.
    }
  }

  private LimitDecision ask(String service) {
    Node coordinator = coordinator(service);
    return coordinator.quota.charge(request(service, "caller"), time.instant());
  }

  private LimitDecision askIn(String dataCentre, String service) {
    Node asker =
        nodes.values().stream()
            .filter(node -> node.self.dataCentre().equals(dataCentre))
            .findFirst()
            .orElseThrow();
    GatewayInstance coordinator = asker.fleet.ranked(service, time.instant()).get(0);
    return nodes
        .get(coordinator.name())
        .quota
        .charge(request(service, asker.self.boot()), time.instant());
  }

  private SlotRequest request(String service, String holder) {
    numbers++;
    return SlotRequest.builder(new SlotKey(holder, numbers), service)
        .dataCentre("a")
        .maxWait(Duration.ofMillis(150))
        .fingerprint(numbers)
        .workspace(FARM)
        .charged(true)
        .build();
  }

  private Node coordinator(String service) {
    return nodes.values().stream()
        .filter(node -> !down.contains(node.self.name()))
        .map(node -> node.fleet.ranked(service, time.instant()).get(0))
        .map(instance -> nodes.get(instance.name()))
        .filter(node -> !down.contains(node.self.name()))
        .findFirst()
        .orElseThrow();
  }

  private boolean isFirst(Node node) {
    return SERVICES.stream().anyMatch(service -> coordinator(service) == node);
  }

  private void loseCoordinators() {
    String lost = coordinator("engine").self.name();
    down.add(lost);
    nodes.values().forEach(node -> node.fleet.remove(lost));
  }

  /** Lets each process suspect two others in each data centre that it cannot reach. */
  private void suspectOtherSide(Node node) {
    for (Node other : nodes.values()) {
      if (other.self.dataCentre().equals(cut) != node.self.dataCentre().equals(cut)) {
        node.fleet.recordSilence(other.self.name(), time.instant());
      }
    }
  }

  /** Lets the processes of all data centres send datagrams to each other, as under load. */
  private void chatter() {
    for (Node node : nodes.values()) {
      nodes.values().forEach(other -> node.send(other.self, new PeerMessage.Pong()));
    }
  }

  private void configure(WorkspaceLimit limit) {
    version++;
    DefaultWorkspaceRegistry.Builder registry =
        DefaultWorkspaceRegistry.builder().add(new Workspace(FARM, null, limit), List.of());
    List<Route> routes =
        SERVICES.stream()
            .map(
                service ->
                    Route.builder("h", "/" + service + "/")
                        .name(service)
                        .kind(RouteKind.ONCE)
                        .timeout(Duration.ofSeconds(5))
                        .objective(Duration.ofSeconds(1))
                        .services(List.of(new ServiceShare(service, 1)))
                        .build())
            .toList();
    RoutingConfig next = new RoutingConfig(version, routes, CallerLimits.DEFAULT, registry.build());
    nodes.values().forEach(node -> node.config.offer(next));
  }

  private static GatewayInstance instance(String name) {
    return new GatewayInstance(
        name, name + "~1", new InetSocketAddress("127.0.0.1", 1), name.substring(0, 1), 1);
  }
}
