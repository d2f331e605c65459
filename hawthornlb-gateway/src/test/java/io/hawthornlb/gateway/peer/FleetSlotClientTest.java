package io.hawthornlb.gateway.peer;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.hawthornlb.gateway.RecordingEventLog;
import io.hawthornlb.gateway.VirtualLoop;
import io.hawthornlb.gateway.endpoint.EndpointDirectory;
import io.hawthornlb.gateway.endpoint.EndpointIncarnation;
import io.hawthornlb.gateway.endpoint.EndpointRecord;
import io.hawthornlb.gateway.learned.LearnedStateStore;
import io.hawthornlb.gateway.metric.GatewayMetrics;
import io.hawthornlb.gateway.metric.MetricsText;
import io.hawthornlb.gateway.slot.RequestQuota;
import io.hawthornlb.gateway.slot.SchedulingSettings;
import io.hawthornlb.gateway.slot.SlotAnswer;
import io.hawthornlb.gateway.slot.SlotOutcome;
import io.hawthornlb.gateway.slot.SlotRequest;
import io.hawthornlb.gateway.store.support.InMemoryLogStore;
import io.hawthornlb.gateway.wire.ReportedLoad;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import org.junit.jupiter.api.Test;

class FleetSlotClientTest {

  private static final String SERVICE = "engine";

  private final VirtualLoop time = new VirtualLoop();
  private final Map<String, Node> nodes = new HashMap<>();
  private final List<String> names = List.of("a1", "b1", "c1");

  FleetSlotClientTest() {
    names.forEach(name -> nodes.put(name, new Node(name)));
    nodes.values().forEach(Node::connectToAll);
  }

  /** A gateway whose datagrams reach the other gateways unless it is down. */
  private final class Node implements PeerTransport {

    private final String name;
    private final FleetView fleet;
    private final FleetSlotClient slots;
    private final EndpointDirectory directory = new EndpointDirectory();
    private final List<SlotAnswer> answers = new ArrayList<>();
    private final List<PeerMessage> sent = new ArrayList<>();
    private final GatewayMetrics metrics = new GatewayMetrics();
    private Consumer<PeerCodec.Envelope> receiver = envelope -> {};
    private boolean down;

    private Node(String name) {
      this.name = name;
      this.fleet = new FleetView(instance(name));
      directory.put(new EndpointRecord(SERVICE, SERVICE, address(), "a", 1, false));
      this.slots =
          new FleetSlotClient(
              fleet,
              this,
              directory,
              time.loop(),
              time,
              new RecordingEventLog(),
              RequestQuota.UNLIMITED,
              SchedulingSettings.DEFAULT,
              metrics,
              replicator());
    }

    private LearnedStateReplicator replicator() {
      RecordingEventLog log = new RecordingEventLog();
      LearnedStateStore store =
          new LearnedStateStore(new InMemoryLogStore(time.loop(), 1), time.loop(), time, log);
      return new LearnedStateReplicator(fleet, this, directory, store, time.loop(), time, log);
    }

    private void connectToAll() {
      names.forEach(other -> fleet.put(instance(other)));
    }

    /** Records in this gateway's directory that the endpoint has restarted. */
    private void restartEndpoint(long born) {
      directory.put(new EndpointRecord(SERVICE, SERVICE, address(), "a", 1, false, born));
    }

    private SlotRequest ask() {
      return ask(0);
    }

    private SlotRequest ask(long fingerprint) {
      Duration wait = Duration.ofMillis(600);
      SlotRequest request =
          SlotRequest.builder(slots.nextKey(), SERVICE)
              .dataCentre("a")
              .maxWait(wait)
              .fingerprint(fingerprint)
              .build();
      slots.acquire(request, answers::add);
      return request;
    }

    @Override
    public void send(GatewayInstance to, PeerMessage message) {
      sent.add(message);
      Node target = nodes.get(to.name());
      if (!down && !target.down) {
        byte[] bytes = PeerCodec.encode(new PeerCodec.Envelope(name, message));
        time.loop().execute(() -> target.receiver.accept(PeerCodec.decode(bytes)));
      }
    }

    @Override
    public void onMessage(Consumer<PeerCodec.Envelope> next) {
      receiver = next;
    }
  }

  @Test
  void sharesOneSlotAmongAllGateways() {
    SlotRequest first = nodes.get("a1").ask();
    time.advance(Duration.ofMillis(5));
    nodes.get("b1").ask();
    time.advance(Duration.ofMillis(5));
    assertEquals(List.of(granted(first, EndpointIncarnation.UNKNOWN)), nodes.get("a1").answers);
    assertEquals(List.of(), nodes.get("b1").answers);
    nodes.get("a1").slots.release(first.key(), SlotOutcome.ANSWERED);
    time.advance(Duration.ofMillis(5));
    assertEquals(1, nodes.get("b1").answers.size());
  }

  /**
   * Guards against callers that wait for seconds after the coordinator of their service was killed,
   * because other gateways keep asking it.
   */
  @Test
  void asksTheNextInstanceWhenTheCoordinatorIsSilent() {
    GatewayInstance first = nodes.get("a1").fleet.ranked(SERVICE, time.instant()).get(0);
    nodes.get(first.name()).down = true;
    Node asker =
        names.stream()
            .filter(name -> !name.equals(first.name()))
            .map(nodes::get)
            .findFirst()
            .orElseThrow();
    SlotRequest request = asker.ask();
    time.advance(Duration.ofMillis(60));
    assertEquals(List.of(granted(request, EndpointIncarnation.UNKNOWN)), asker.answers);
  }

  /**
   * Guards against a caller that is told that its request has not run while an endpoint runs it.
   * The first coordinator answered late that the request must wait, after the second coordinator
   * had granted it. The first coordinator's silence after that answer was taken for a refusal.
   */
  @Test
  void ignoresAnswersOfAFormerCoordinator() {
    Node asker = nodes.get("a1");
    GatewayInstance first = asker.fleet.ranked(SERVICE, time.instant()).get(0);
    if (first.name().equals("a1")) {
      asker = nodes.get("b1");
    }
    nodes.get(first.name()).down = true;
    SlotRequest request = asker.ask();
    time.advance(Duration.ofMillis(60));
    assertEquals(List.of(granted(request, EndpointIncarnation.UNKNOWN)), asker.answers);
    nodes.get(first.name()).down = false;
    for (SlotAnswer late :
        List.of(
            new SlotAnswer.Waiting(request.key(), Duration.ofMillis(1)),
            new SlotAnswer.Refused(request.key(), Duration.ofMillis(1), SlotAnswer.Load.UNKNOWN),
            new SlotAnswer.Revoked(request.key()))) {
      nodes.get(first.name()).send(asker.fleet.self(), new PeerMessage.Answer(late));
    }
    time.advance(Duration.ofSeconds(2));
    assertEquals(1, asker.answers.size(), asker.answers.toString());
  }

  /** A gateway that reaches no other gateway must serve its callers with its local knowledge. */
  @Test
  void decidesAloneWhenNobodyAnswers() {
    Node alone = nodes.get("a1");
    names.stream().filter(name -> !name.equals("a1")).forEach(name -> nodes.get(name).down = true);
    SlotRequest request = alone.ask();
    time.advance(Duration.ofMillis(150));
    assertEquals(List.of(granted(request, EndpointIncarnation.UNKNOWN)), alone.answers);
  }

  /**
   * Guards against a slot that is granted twice after the coordinator was killed. The successor
   * does not know the earlier grant until the holder reports it, which happens within a second.
   */
  @Test
  void reportsItsUsesToANewCoordinator() {
    Node holder = nodes.get("a1");
    GatewayInstance coordinator = holder.fleet.ranked(SERVICE, time.instant()).get(0);
    if (coordinator.name().equals("a1")) {
      holder = nodes.get("b1");
    }
    holder.ask();
    time.advance(Duration.ofMillis(5));
    assertEquals(1, holder.answers.size());
    nodes.get(coordinator.name()).down = true;
    Node lost = holder;
    nodes.values().forEach(node -> node.fleet.recordSilence(coordinator.name(), time.instant()));
    time.advance(Duration.ofMillis(1_010));
    Node other =
        nodes.values().stream()
            .filter(node -> node != lost && !node.down)
            .findFirst()
            .orElseThrow();
    other.ask();
    time.advance(Duration.ofMillis(20));
    assertTrue(
        other.answers.stream().noneMatch(SlotAnswer.Granted.class::isInstance),
        other.answers.toString());
  }

  /**
   * Guards against slots that are granted twice until their holders renew them, after a coordinator
   * was killed. First events then come late although slots are free elsewhere.
   */
  @Test
  void reportsItsUsesBeforeTheFirstRequestToANewCoordinator() {
    GatewayInstance coordinator = nodes.get("a1").fleet.ranked(SERVICE, time.instant()).get(0);
    Node holder = otherThan(coordinator.name());
    holder.ask();
    time.advance(Duration.ofMillis(5));
    assertEquals(1, holder.answers.size());
    nodes.get(coordinator.name()).down = true;
    SlotRequest next = holder.ask();
    time.advance(Duration.ofMillis(60));
    assertEquals(1, holder.answers.size(), "the slot was granted twice: " + holder.answers);
    holder.slots.release(next.key(), SlotOutcome.ABANDONED);
  }

  /**
   * Guards against batch items that wait for two seconds after a coordinator was killed. The
   * successor has free slots, but the items keep waiting at the former coordinator.
   */
  @Test
  void repeatsWaitingRequestsAtANewCoordinator() {
    GatewayInstance coordinator = nodes.get("a1").fleet.ranked(SERVICE, time.instant()).get(0);
    Node first = otherThan(coordinator.name());
    SlotRequest running = first.ask();
    time.advance(Duration.ofMillis(5));
    SlotRequest waits = first.ask();
    time.advance(Duration.ofMillis(5));
    assertEquals(1, first.answers.size());
    nodes.get(coordinator.name()).down = true;
    first.slots.release(running.key(), SlotOutcome.ANSWERED);
    first.ask();
    time.advance(Duration.ofMillis(60));
    assertTrue(
        first.answers.contains(granted(waits, EndpointIncarnation.UNKNOWN)),
        first.answers.toString());
  }

  private Node otherThan(String name) {
    return names.stream()
        .filter(each -> !each.equals(name))
        .map(nodes::get)
        .findFirst()
        .orElseThrow();
  }

  /**
   * Guards against a request that crashes three more endpoints after the coordinator died, because
   * the successor does not know of the earlier crashes.
   */
  @Test
  void announcesARequestThatCrashedThreeEndpointsToAll() {
    for (int crash = 0; crash < 3; crash++) {
      SlotRequest request = nodes.get("a1").ask(4_711);
      time.advance(Duration.ofMillis(20));
      nodes.get("a1").slots.release(request.key(), SlotOutcome.FAILED);
      time.advance(Duration.ofSeconds(5));
    }
    assertEquals(3, nodes.get("a1").answers.size());
    GatewayInstance first = nodes.get("a1").fleet.ranked(SERVICE, time.instant()).get(0);
    nodes.get(first.name()).down = true;
    Node other =
        nodes.values().stream().filter(node -> !node.down).reduce((a, b) -> b).orElseThrow();
    other.ask(4_711);
    time.advance(Duration.ofMillis(200));
    assertTrue(
        other.answers.stream().allMatch(SlotAnswer.Refused.class::isInstance),
        other.answers.toString());
    assertEquals(1, other.answers.size());
  }

  /**
   * Guards against slots that are granted twice by a stopping gateway. The gateway left the
   * instance list at once and accepted requests for some seconds more. The coordinator received its
   * requests for slots but found no address for the answers. Callers waited longer, and in the end
   * the gateway decided alone.
   */
  @Test
  void answersAGatewayThatHasLeftTheList() {
    String first = nodes.get("a1").fleet.ranked(SERVICE, time.instant()).get(0).name();
    List<Node> askers = names.stream().filter(name -> !name.equals(first)).map(nodes::get).toList();
    Node holder = askers.get(0);
    Node stopping = askers.get(1);
    SlotRequest held = holder.ask();
    time.advance(Duration.ofMillis(5));
    assertEquals(List.of(granted(held, EndpointIncarnation.UNKNOWN)), holder.answers);
    nodes.values().forEach(node -> node.fleet.remove(stopping.name));
    SlotRequest late = stopping.ask();
    time.advance(Duration.ofMillis(200));
    assertEquals(List.of(), stopping.answers);
    holder.slots.release(held.key(), SlotOutcome.ANSWERED);
    time.advance(Duration.ofMillis(25));
    assertEquals(List.of(granted(late, EndpointIncarnation.UNKNOWN)), stopping.answers);
  }

  /**
   * Guards against a slot that stays reserved for a stopping gateway. The coordinator granted the
   * slot but could not send the answer, and nobody released the slot. Callers of other gateways
   * waited although the slot was free.
   */
  @Test
  void reservesNoSlotForAGatewayThatHasLeftTheList() {
    String first = nodes.get("a1").fleet.ranked(SERVICE, time.instant()).get(0).name();
    List<Node> askers = names.stream().filter(name -> !name.equals(first)).map(nodes::get).toList();
    Node stopping = askers.get(1);
    nodes.values().forEach(node -> node.fleet.remove(stopping.name));
    SlotRequest last = stopping.ask();
    time.advance(Duration.ofMillis(200));
    stopping.slots.release(last.key(), SlotOutcome.ANSWERED);
    time.advance(Duration.ofMillis(5));
    Node other = askers.get(0);
    SlotRequest next = other.ask();
    time.advance(Duration.ofMillis(600));
    assertEquals(List.of(granted(next, EndpointIncarnation.UNKNOWN)), other.answers);
  }

  /**
   * Guards against a request that waits although its endpoint is idle. The holder's list was
   * outdated, so the holder sent an earlier request to the address of the endpoint's former
   * incarnation, and the coordinator counted that failure against the new incarnation.
   */
  @Test
  void countsNoFailureAgainstAnIncarnationUnknownToTheHolder() {
    Node holder = holder();
    nodes.values().stream().filter(node -> node != holder).forEach(node -> node.restartEndpoint(2));
    for (SlotOutcome outcome : List.of(SlotOutcome.REPLACED, SlotOutcome.UNREACHED)) {
      SlotRequest request = holder.ask();
      time.advance(Duration.ofMillis(5));
      assertEquals(granted(request, 2), holder.answers.get(holder.answers.size() - 1));
      holder.slots.release(request.key(), outcome);
    }
    SlotRequest next = holder.ask();
    time.advance(Duration.ofMillis(5));
    assertEquals(granted(next, 2), holder.answers.get(holder.answers.size() - 1));
  }

  /**
   * Guards against a slot that is granted twice. The holder knew the endpoint's new incarnation
   * before the coordinator did, and the coordinator dropped the use when it learned of that
   * incarnation.
   */
  @Test
  void reportsTheIncarnationOfAUse() {
    Node holder = holder();
    holder.restartEndpoint(2);
    SlotRequest request = holder.ask();
    time.advance(Duration.ofMillis(5));
    assertEquals(List.of(granted(request, 2)), holder.answers);
    time.advance(Duration.ofMillis(1_005));
    nodes.values().stream().filter(node -> node != holder).forEach(node -> node.restartEndpoint(2));
    holder.ask();
    time.advance(Duration.ofMillis(5));
    assertEquals(1, holder.answers.size());
  }

  /** Guards against a datagram for each response of an endpoint that works as usual. */
  @Test
  void reportsAPaceOnlyIfItIsUnusualOrUsualAgain() {
    Node holder = holder();
    SlotRequest request = holder.ask();
    time.advance(Duration.ofMillis(5));
    int before = holder.sent.size();
    for (int percent : List.of(100, 110, 250, 100, 90, ReportedLoad.UNKNOWN_PACE)) {
      holder.slots.reportLoad(request.key(), new ReportedLoad(1, 0, percent));
    }
    holder.slots.reportLoad(request.key(), new ReportedLoad(8, 2));
    List<ReportedLoad> told =
        holder.sent.stream()
            .skip(before)
            .map(message -> ((PeerMessage.Told) message).load())
            .toList();
    assertEquals(
        List.of(new ReportedLoad(1, 0, 250), new ReportedLoad(1, 0, 100), new ReportedLoad(8, 2)),
        told);
    time.advance(Duration.ofMillis(1_100));
    Node coordinator = nodes.get(holder.fleet.ranked(SERVICE, time.instant()).get(0).name());
    String metrics = new MetricsText(coordinator.metrics).write();
    assertTrue(metrics.contains("pace_slowest{by=\"engine\"} 1.0"), metrics);
  }

  /** Returns a gateway that is not the coordinator. */
  private Node holder() {
    GatewayInstance first = nodes.get("a1").fleet.ranked(SERVICE, time.instant()).get(0);
    return nodes.get(first.name().equals("a1") ? "b1" : "a1");
  }

  private static SlotAnswer granted(SlotRequest request, long born) {
    return new SlotAnswer.Granted(request.key(), new EndpointIncarnation(SERVICE, born));
  }

  private static GatewayInstance instance(String name) {
    return new GatewayInstance(name, name + "~1", address(), name.substring(0, 1));
  }

  private static InetSocketAddress address() {
    return new InetSocketAddress("127.0.0.1", 1);
  }
}
