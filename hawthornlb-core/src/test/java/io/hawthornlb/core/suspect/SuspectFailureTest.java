package io.hawthornlb.core.suspect;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.hawthornlb.core.effect.BroadcastPeerMessage;
import io.hawthornlb.core.effect.Effect;
import io.hawthornlb.core.model.EndpointId;
import io.hawthornlb.core.model.InstanceId;
import io.hawthornlb.core.model.RefusalReason;
import io.hawthornlb.core.model.RunStatus;
import io.hawthornlb.core.peer.PeerMessage;
import io.hawthornlb.core.suspect.support.CountingSuspectTable;
import io.hawthornlb.core.suspect.support.NoOpSuspectTable;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.function.IntFunction;
import org.junit.jupiter.api.Test;

class SuspectFailureTest {

  private static final int ENTRIES = 13;
  private static final Fingerprint CRASHING = Fingerprint.of("brief-llm", bytes("deadly"));
  private static final Fingerprint INNOCENT = Fingerprint.of("brief-llm", bytes("innocent"));
  private static final Instant NOW = Instant.EPOCH;

  // Guards against the loss of all engines to one request that crashes each engine that runs it.
  // The caller resends the request through one entry instance after the other, and no entry
  // instance knows of the crashes before.
  @Test
  void aCrashingRequestCostsTwoEndpointsAcrossThirteenEntries() {
    assertEquals(
        13,
        endpointsLost(fleet(i -> new NoOpSuspectTable())),
        "the baseline must lose all endpoints");
    assertEquals(2, endpointsLost(fleet(SuspectFailureTest::table)));
  }

  // Guards against the permanent refusal of a harmless request that ran beside a crashing one when
  // the engine crashed.
  @Test
  void anInnocentRequestIsClearedByRunningAlone() {
    CountingSuspectTable table = table(0);
    Set<EndpointId> endpoints = endpoints();
    table.onCrash(new EndpointId("engine-0"), List.of(CRASHING, INNOCENT), NOW);
    Verdict.Alone alone =
        assertInstanceOf(Verdict.Alone.class, table.judge(INNOCENT, endpoints, NOW));
    table.onAloneStarted(INNOCENT, alone.endpoint(), NOW);
    table.onAloneSucceeded(INNOCENT, alone.endpoint(), NOW.plusSeconds(1));
    assertInstanceOf(Verdict.Clear.class, table.judge(INNOCENT, endpoints, NOW.plusSeconds(1)));
    assertInstanceOf(Verdict.Alone.class, table.judge(CRASHING, endpoints, NOW.plusSeconds(1)));
  }

  // Guards against the loss of two engines at once: the caller sends its request through two entry
  // instances at the same time, and each runs it alone, but at different engines.
  @Test
  void allEntriesRunASuspectAtTheSameEndpointOneAtATime() {
    CountingSuspectTable one = table(0);
    CountingSuspectTable other = table(1);
    List<Effect> notices = one.onCrash(new EndpointId("engine-0"), List.of(CRASHING), NOW);
    deliver(notices, List.of(other));
    Verdict.Alone first =
        assertInstanceOf(Verdict.Alone.class, one.judge(CRASHING, endpoints(), NOW));
    Verdict.Alone second =
        assertInstanceOf(Verdict.Alone.class, other.judge(CRASHING, endpoints(), NOW));
    assertEquals(first.endpoint(), second.endpoint());
    deliver(one.onAloneStarted(CRASHING, first.endpoint(), NOW), List.of(other));
    assertInstanceOf(Verdict.Wait.class, other.judge(CRASHING, endpoints(), NOW));
    Set<EndpointId> accepting = endpoints();
    accepting.remove(first.endpoint());
    assertInstanceOf(Verdict.Wait.class, other.judge(CRASHING, accepting, NOW));
    assertInstanceOf(Verdict.Wait.class, one.judge(CRASHING, accepting, NOW));
  }

  // Guards against the loss of a crash notice between two entry instances. The notice is sent twice
  // and must count once.
  @Test
  void aNoticeIsSentTwiceAndCountsOnce() {
    CountingSuspectTable table = table(0);
    CountingSuspectTable peer = table(1);
    List<Effect> notices = table.onCrash(new EndpointId("engine-0"), List.of(CRASHING), NOW);
    deliver(notices, List.of(peer));
    List<Effect> again = table.onTick(NOW.plusMillis(300));
    assertEquals(notices, again);
    deliver(again, List.of(peer));
    assertInstanceOf(Verdict.Alone.class, peer.judge(CRASHING, endpoints(), NOW));
    assertEquals(List.of(), table.onTick(NOW.plusMillis(600)));
  }

  @Test
  void suspicionExpiresAndTheTableIsBounded() {
    CountingSuspectTable table = table(0);
    for (int i = 0; i < 20_000; i++) {
      table.onCrash(new EndpointId("e"), List.of(new Fingerprint(i)), NOW);
    }
    assertInstanceOf(Verdict.Clear.class, table.judge(new Fingerprint(1), endpoints(), NOW));
    Fingerprint last = new Fingerprint(19_999);
    assertInstanceOf(Verdict.Alone.class, table.judge(last, endpoints(), NOW));
    Instant later = NOW.plus(Duration.ofHours(2));
    assertInstanceOf(Verdict.Clear.class, table.judge(last, endpoints(), later));
  }

  /**
   * Resends the crashing request through one entry instance after the other, and returns the number
   * of crashes.
   */
  private static int endpointsLost(List<SuspectTable> fleet) {
    Set<EndpointId> alive = endpoints();
    int lost = 0;
    for (int i = 0; i < ENTRIES; i++) {
      SuspectTable entry = fleet.get(i);
      Verdict verdict = entry.judge(CRASHING, alive, NOW);
      if (verdict instanceof Verdict.Refused refused) {
        assertEquals(RefusalReason.CRASHES_ENDPOINTS, refused.refusal().reason());
        assertEquals(RunStatus.MAY_HAVE_RUN, refused.refusal().run());
        continue;
      }
      EndpointId victim = alive.iterator().next();
      if (verdict instanceof Verdict.Alone alone) {
        victim = alone.endpoint();
        deliver(entry.onAloneStarted(CRASHING, victim, NOW), fleet);
      }
      assertTrue(alive.remove(victim));
      lost++;
      deliver(entry.onCrash(victim, List.of(CRASHING), NOW), fleet);
    }
    return lost;
  }

  private static void deliver(List<Effect> effects, List<? extends SuspectTable> tables) {
    for (Effect effect : effects) {
      PeerMessage message = ((BroadcastPeerMessage) effect).message();
      for (SuspectTable table : tables) {
        if (message instanceof CrashNotice notice) {
          table.onNotice(notice, NOW);
        } else if (message instanceof QuarantineNotice notice) {
          table.onQuarantine(notice, NOW);
        } else if (message instanceof ClearNotice notice) {
          table.onClear(notice, NOW);
        }
      }
    }
  }

  private static List<SuspectTable> fleet(IntFunction<SuspectTable> factory) {
    List<SuspectTable> fleet = new ArrayList<>();
    for (int i = 0; i < ENTRIES; i++) {
      fleet.add(factory.apply(i));
    }
    return fleet;
  }

  private static CountingSuspectTable table(int index) {
    return new CountingSuspectTable(new InstanceId("entry-" + index), SuspectSettings.DEFAULT);
  }

  private static Set<EndpointId> endpoints() {
    Set<EndpointId> endpoints = new LinkedHashSet<>();
    for (int i = 0; i < ENTRIES; i++) {
      endpoints.add(new EndpointId("engine-" + i));
    }
    return endpoints;
  }

  private static byte[] bytes(String text) {
    return text.getBytes(StandardCharsets.UTF_8);
  }
}
