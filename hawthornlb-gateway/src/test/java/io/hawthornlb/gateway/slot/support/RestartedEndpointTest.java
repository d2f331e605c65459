package io.hawthornlb.gateway.slot.support;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;

import io.hawthornlb.gateway.endpoint.EndpointIncarnation;
import io.hawthornlb.gateway.endpoint.EndpointRecord;
import io.hawthornlb.gateway.slot.SlotAnswer;
import io.hawthornlb.gateway.slot.SlotKey;
import io.hawthornlb.gateway.slot.SlotOutcome;
import io.hawthornlb.gateway.slot.SlotRequest;
import io.hawthornlb.gateway.slot.SlotUse;
import io.hawthornlb.gateway.wire.ReportedLoad;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;

/** Tests how a coordinator handles an endpoint that restarts under the same id. */
class RestartedEndpointTest {

  private static final long FINGERPRINT = 4_711;

  private final CoordinatorFixture fixture = new CoordinatorFixture();

  /**
   * Guards against requests that are refused while an endpoint is idle: the endpoint crashed and
   * restarted, but got no requests for the rest of the penalty for its former failures.
   */
  @Test
  void usesARestartedEndpointAtOnce() {
    started("e1", "a", 1, 1);
    for (int i = 0; i < 4; i++) {
      SlotRequest lost = fixture.online("a");
      assertEquals("e1", fixture.granted(lost));
      fixture.release(lost, SlotOutcome.FAILED);
      fixture.advance(Duration.ofMillis(200L << i));
    }
    SlotRequest last = fixture.online("a");
    assertEquals("e1", fixture.granted(last));
    fixture.release(last, SlotOutcome.FAILED);
    started("e1", "a", 1, 2);
    assertEquals("e1", fixture.granted(fixture.online("a")));
  }

  /**
   * Guards against requests that are refused although two endpoints of another data centre have
   * restarted: both had crashed, which looked like a network partition.
   */
  @Test
  void assumesNoNetworkPartitionAfterCrashedEndpointsRestart() {
    started("e1", "b", 1, 1);
    started("e2", "b", 1, 1);
    SlotRequest first = fixture.online("a");
    SlotRequest second = fixture.online("a");
    fixture.granted(first);
    fixture.granted(second);
    fixture.release(first, SlotOutcome.FAILED);
    fixture.release(second, SlotOutcome.FAILED);
    started("e1", "b", 1, 2);
    started("e2", "b", 1, 2);
    fixture.granted(fixture.online("a"));
    fixture.granted(fixture.online("a"));
  }

  /**
   * Guards against requests that queue at one endpoint while another is idle: the idle endpoint had
   * failed some requests before its restart, and was still avoided for seconds.
   */
  @Test
  void forgetsTheErrorsOfARestartedEndpoint() {
    started("a1", "a", 8, 1);
    for (int i = 0; i < 3; i++) {
      SlotRequest failing = fixture.online("a");
      assertEquals("a1", fixture.granted(failing));
      fixture.release(failing, SlotOutcome.ERROR);
    }
    started("b1", "b", 8, 1);
    assertEquals("b1", fixture.granted(fixture.online("a")));
    started("a1", "a", 8, 2);
    assertEquals("a1", fixture.granted(fixture.online("a")));
  }

  /**
   * Guards against two requests in one slot, one of which waits at the endpoint: a use at the
   * former incarnation ended late, because datagrams are delayed, and was mistaken for the end of a
   * use at the new incarnation.
   */
  @Test
  void freesNoSlotOfTheNewIncarnationWhenAUseAtTheFormerOneEnds() {
    started("e1", "a", 4, 1);
    SlotRequest former = fixture.online("a");
    fixture.granted(former);
    started("e1", "a", 4, 2);
    SlotRequest running = fixture.online("a");
    assertEquals("e1", fixture.granted(running));
    for (int i = 1; i < 4; i++) {
      assertEquals("e1", fixture.granted(fixture.online("a")));
    }
    SlotRequest waiting = fixture.online("a");
    assertInstanceOf(SlotAnswer.Waiting.class, fixture.ask(waiting).get(0));
    assertEquals(List.of(), fixture.release(former, SlotOutcome.FAILED));
    // Nor does the failure of the former incarnation penalize the new one.
    assertEquals(
        List.of(new SlotAnswer.Granted(waiting.key(), new EndpointIncarnation("e1", 2))),
        fixture.release(running, SlotOutcome.ANSWERED));
  }

  /** Guards against a late hint that makes an endpoint unused that has just started. */
  @Test
  void ignoresTheSilenceOfAFormerIncarnation() {
    started("e1", "a", 8, 1);
    SlotRequest former = fixture.online("a");
    fixture.granted(former);
    started("e1", "a", 8, 2);
    fixture.coordinator.suspect(former.key(), fixture.now);
    assertEquals("e1", fixture.granted(fixture.online("a")));
  }

  /**
   * Guards against requests that are refused while an endpoint is idle: the endpoint had reported a
   * long queue before its restart, and a late answer reported the queue once more.
   */
  @Test
  void forgetsTheLoadReportedByAFormerIncarnation() {
    started("e1", "a", 1, 1);
    SlotRequest former = fixture.online("a");
    fixture.granted(former);
    fixture.coordinator.reportLoad(former.key(), new ReportedLoad(8, 3), fixture.now);
    started("e1", "a", 1, 2);
    fixture.coordinator.reportLoad(former.key(), new ReportedLoad(8, 3), fixture.now);
    assertEquals("e1", fixture.granted(fixture.online("a")));
  }

  /**
   * Guards against a request that crashes one endpoint after the other without being counted: each
   * endpoint had restarted before its crash was reported.
   */
  @Test
  void countsCrashesOfARequestAcrossIncarnations() {
    for (int crash = 0; crash < 3; crash++) {
      started("e1", "a", 8, 2L * crash + 1);
      SlotRequest request = crashing(crash);
      fixture.granted(request);
      started("e1", "a", 8, 2L * crash + 2);
      fixture.release(request, SlotOutcome.FAILED);
    }
    assertInstanceOf(SlotAnswer.Refused.class, fixture.ask(crashing(3)).get(0));
  }

  /**
   * Guards against requests that wait for an endpoint that has just started: a gateway with an
   * outdated directory renewed a use at the former incarnation.
   */
  @Test
  void ignoresARenewedUseAtAFormerIncarnation() {
    started("e1", "a", 1, 2);
    fixture.coordinator.renew("late", List.of(use(7, 1)), fixture.now);
    assertEquals("e1", fixture.granted(fixture.online("a")));
  }

  /**
   * Guards against two requests in one slot: a gateway knew of the new incarnation before the
   * coordinator did, and the coordinator attributed the gateway's use to the former incarnation
   * when it learned of the new one.
   */
  @Test
  void keepsAUseAtAnIncarnationThatItLearnsOfLater() {
    started("e1", "a", 1, 1);
    fixture.coordinator.renew("early", List.of(use(7, 2)), fixture.now);
    assertRefused();
    started("e1", "a", 1, 2);
    assertRefused();
  }

  /** As above, for a use that the coordinator had granted at the incarnation that it knew. */
  @Test
  void learnsTheIncarnationOfAUseFromItsRenewal() {
    started("e1", "a", 1, 1);
    SlotRequest request = fixture.online("a");
    fixture.granted(request);
    fixture.coordinator.renew("holder", List.of(use(request.key().number(), 2)), fixture.now);
    started("e1", "a", 1, 2);
    assertRefused();
  }

  /**
   * Guards against a request that is refused although its endpoint has just restarted: the former
   * incarnation had broken the connection while it ran the request.
   */
  @Test
  void excludesOnlyTheIncarnationThatBrokeTheConnection() {
    started("e1", "a", 8, 2);
    Set<EndpointIncarnation> former = Set.of(new EndpointIncarnation("e1", 1));
    assertEquals("e1", fixture.granted(fixture.request("a", false, 0, former)));
  }

  /**
   * Guards against a request that returns to the endpoint that refused it, because the coordinator
   * has not heard of that incarnation yet.
   */
  @Test
  void excludesAnIncarnationThatItHasNotHeardOf() {
    started("e1", "a", 1, 1);
    Set<EndpointIncarnation> later = Set.of(new EndpointIncarnation("e1", 2));
    SlotRequest request = fixture.request("a", false, 0, later);
    assertInstanceOf(SlotAnswer.Refused.class, fixture.ask(request).get(0));
  }

  /**
   * Guards against revoking an item of a former incarnation: the online request that needs its slot
   * would be granted a slot that is in use.
   */
  @Test
  void revokesNoItemOfAFormerIncarnation() {
    started("e1", "a", 1, 1);
    SlotRequest item = fixture.batch(fixture.now.plusSeconds(9));
    fixture.granted(item);
    started("e1", "a", 1, 2);
    fixture.granted(fixture.online("a"));
    assertRefused();
  }

  /**
   * Guards against a request that runs without a lease in a slot of the new incarnation, because
   * the first answer, for the former incarnation, was lost.
   */
  @Test
  void grantsAgainARequestGrantedAtAFormerIncarnation() {
    started("e1", "a", 1, 1);
    SlotRequest request = fixture.online("a");
    fixture.granted(request);
    started("e1", "a", 1, 2);
    assertEquals(
        List.of(new SlotAnswer.Granted(request.key(), new EndpointIncarnation("e1", 2))),
        fixture.ask(request));
    assertRefused();
  }

  /**
   * Asserts that a request is refused and that no other answer is sent: the only slot is in use.
   */
  private void assertRefused() {
    List<SlotAnswer> answers = fixture.ask(fixture.online("a"));
    assertEquals(1, answers.size(), answers.toString());
    assertInstanceOf(SlotAnswer.Refused.class, answers.get(0));
  }

  private void started(String id, String dataCentre, int slots, long born) {
    InetSocketAddress nowhere = new InetSocketAddress("127.0.0.1", 1);
    fixture.directory.put(
        new EndpointRecord(
            id, CoordinatorFixture.SERVICE, nowhere, dataCentre, slots, false, born));
  }

  private static SlotUse use(long number, long born) {
    return new SlotUse(number, new EndpointIncarnation("e1", born), false, 0, Duration.ZERO);
  }

  private static SlotRequest crashing(int attempt) {
    return SlotRequest.builder(new SlotKey("gateway-" + attempt, 1), CoordinatorFixture.SERVICE)
        .dataCentre("a")
        .maxWait(Duration.ofMillis(150))
        .fingerprint(FINGERPRINT)
        .build();
  }
}
