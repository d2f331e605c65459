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

/** An endpoint that starts again under its id, as a coordinator sees it. */
class RestartedEndpointTest {

  private static final long FINGERPRINT = 4_711;

  private final CoordinatorFixture fixture = new CoordinatorFixture();

  /**
   * A store hand's check is refused while an endpoint idles. The endpoint had crashed and was back,
   * and got nothing for the rest of the pause that its former failures had brought it.
   */
  @Test
  void usesAnEndpointThatStartedAgainAtOnce() {
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
   * Checks from one data centre are refused although two endpoints of another one are back. Both
   * had crashed, which looked like a cut of the way there.
   */
  @Test
  void takesNoCrashForACutOnceTheEndpointsAreBack() {
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
   * Requests queue at one endpoint while another one idles. The idle one had failed part of its
   * requests before it was started again, and was passed over for seconds on.
   */
  @Test
  void trustsAnEndpointThatStartedAgain() {
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
   * Two requests share a slot, and one waits at the endpoint. The use of a former life ended late,
   * over datagrams, and was taken for the end of a use of the new one.
   */
  @Test
  void freesNoSlotOfTheNewLifeWithAUseOfTheFormerOne() {
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
    // The failure of the former life does not hold the new one back either.
    assertEquals(
        List.of(new SlotAnswer.Granted(waiting.key(), new EndpointIncarnation("e1", 2))),
        fixture.release(running, SlotOutcome.ANSWERED));
  }

  /** A hint that comes late puts an endpoint out of use that has just started. */
  @Test
  void countsNoSilenceOfAFormerLife() {
    started("e1", "a", 8, 1);
    SlotRequest former = fixture.online("a");
    fixture.granted(former);
    started("e1", "a", 8, 2);
    fixture.coordinator.suspect(former.key(), fixture.now);
    assertEquals("e1", fixture.granted(fixture.online("a")));
  }

  /**
   * Checks are refused while an endpoint idles. It had told a long queue before it started again,
   * and told of it once more by an answer that came late.
   */
  @Test
  void forgetsTheLoadThatAFormerLifeTold() {
    started("e1", "a", 1, 1);
    SlotRequest former = fixture.online("a");
    fixture.granted(former);
    fixture.coordinator.told(former.key(), new ReportedLoad(8, 3), fixture.now);
    started("e1", "a", 1, 2);
    fixture.coordinator.told(former.key(), new ReportedLoad(8, 3), fixture.now);
    assertEquals("e1", fixture.granted(fixture.online("a")));
  }

  /**
   * One endpoint after the other crashes under the same request. Each had started again before its
   * crash was told, so that no crash was counted.
   */
  @Test
  void countsCrashesOfARequestOverTheLivesOfAnEndpoint() {
    for (int crash = 0; crash < 3; crash++) {
      started("e1", "a", 8, 2L * crash + 1);
      SlotRequest request = deadly(crash);
      fixture.granted(request);
      started("e1", "a", 8, 2L * crash + 2);
      fixture.release(request, SlotOutcome.FAILED);
    }
    assertInstanceOf(SlotAnswer.Refused.class, fixture.ask(deadly(3)).get(0));
  }

  /**
   * Checks wait for an endpoint that has just started. A gateway whose list was behind renewed a
   * use of its former life.
   */
  @Test
  void countsNoRenewedUseOfAFormerLife() {
    started("e1", "a", 1, 2);
    fixture.coordinator.renew("late", List.of(use(7, 1)), fixture.now);
    assertEquals("e1", fixture.granted(fixture.online("a")));
  }

  /**
   * Two requests share a slot. A gateway knew of the new life before the coordinator did, and the
   * coordinator took its use for one of the former life when it heard of the new one.
   */
  @Test
  void keepsAUseOfALifeThatItHearsOfLater() {
    started("e1", "a", 1, 1);
    fixture.coordinator.renew("early", List.of(use(7, 2)), fixture.now);
    assertRefused();
    started("e1", "a", 1, 2);
    assertRefused();
  }

  /** As above, for a use that the coordinator had granted at the life that it knew. */
  @Test
  void learnsFromARenewalWhichLifeAUseIsOf() {
    started("e1", "a", 1, 1);
    SlotRequest request = fixture.online("a");
    fixture.granted(request);
    fixture.coordinator.renew("holder", List.of(use(request.key().number(), 2)), fixture.now);
    started("e1", "a", 1, 2);
    assertRefused();
  }

  /**
   * A check is refused although its endpoint has just started, because it had broken off on the
   * check in its former life.
   */
  @Test
  void excludesTheLifeThatBrokeOffAlone() {
    started("e1", "a", 8, 2);
    Set<EndpointIncarnation> former = Set.of(new EndpointIncarnation("e1", 1));
    assertEquals("e1", fixture.granted(fixture.request("a", false, 0, former)));
  }

  /** A request goes back to the endpoint that turned it away, which a coordinator knew too late. */
  @Test
  void excludesALifeThatItHasNotHeardOf() {
    started("e1", "a", 1, 1);
    Set<EndpointIncarnation> later = Set.of(new EndpointIncarnation("e1", 2));
    SlotRequest request = fixture.request("a", false, 0, later);
    assertInstanceOf(SlotAnswer.Refused.class, fixture.ask(request).get(0));
  }

  /**
   * An item of a former life is told to give way, and the request that it gave way to gets a slot
   * that is in use.
   */
  @Test
  void takesNoSlotBackFromAnItemOfAFormerLife() {
    started("e1", "a", 1, 1);
    SlotRequest item = fixture.batch(fixture.now.plusSeconds(9));
    fixture.granted(item);
    started("e1", "a", 1, 2);
    fixture.granted(fixture.online("a"));
    assertRefused();
  }

  /**
   * A request runs unseen on a slot of the former life, because the first answer to it was lost.
   */
  @Test
  void grantsAnewWhatAFormerLifeWasGranted() {
    started("e1", "a", 1, 1);
    SlotRequest request = fixture.online("a");
    fixture.granted(request);
    started("e1", "a", 1, 2);
    assertEquals(
        List.of(new SlotAnswer.Granted(request.key(), new EndpointIncarnation("e1", 2))),
        fixture.ask(request));
    assertRefused();
  }

  /** Checks that a request is refused and nothing else told: the one slot is in use. */
  private void assertRefused() {
    List<SlotAnswer> told = fixture.ask(fixture.online("a"));
    assertEquals(1, told.size(), told.toString());
    assertInstanceOf(SlotAnswer.Refused.class, told.get(0));
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

  private static SlotRequest deadly(int attempt) {
    return new SlotRequest(
        new SlotKey("gateway-" + attempt, 1),
        CoordinatorFixture.SERVICE,
        false,
        0,
        "a",
        Duration.ofMillis(150),
        FINGERPRINT,
        Set.of());
  }
}
