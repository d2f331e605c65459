package io.hawthornlb.core.suspect;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.hawthornlb.core.effect.Effect;
import io.hawthornlb.core.effect.SpreadPeerMessage;
import io.hawthornlb.core.model.EndpointId;
import io.hawthornlb.core.model.InstanceId;
import io.hawthornlb.core.model.RefusalReason;
import io.hawthornlb.core.model.RunStatus;
import io.hawthornlb.core.peer.PeerMessage;
import io.hawthornlb.core.suspect.support.CountingSuspectTable;
import io.hawthornlb.core.suspect.support.TrustingSuspectTable;
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
  private static final Fingerprint DEADLY = Fingerprint.of("brief-llm", bytes("deadly"));
  private static final Fingerprint INNOCENT = Fingerprint.of("brief-llm", bytes("innocent"));
  private static final Instant NOW = Instant.EPOCH;

  // Engine after engine dies until none is left: one request crashes each engine that runs it, its
  // caller sends it again through the next entry, and no entry knows of the crashes before.
  @Test
  void aDeadlyRequestCostsTwoEndpointsOverThirteenEntries() {
    assertEquals(13, endpointsLost(fleet(i -> new TrustingSuspectTable())), "the naive twin");
    assertEquals(2, endpointsLost(fleet(SuspectFailureTest::table)));
  }

  // A coordinator's good request is refused for ever: it ran beside a deadly one when the engine
  // crashed.
  @Test
  void anInnocentRequestIsClearedByRunningAlone() {
    CountingSuspectTable table = table(0);
    Set<EndpointId> endpoints = endpoints();
    table.onCrash(new EndpointId("engine-0"), List.of(DEADLY, INNOCENT), NOW);
    Verdict.Alone alone =
        assertInstanceOf(Verdict.Alone.class, table.judge(INNOCENT, endpoints, NOW));
    table.onAloneStarted(INNOCENT, alone.endpoint(), NOW);
    table.onAloneSucceeded(INNOCENT, alone.endpoint(), NOW.plusSeconds(1));
    assertInstanceOf(Verdict.Clear.class, table.judge(INNOCENT, endpoints, NOW.plusSeconds(1)));
    assertInstanceOf(Verdict.Alone.class, table.judge(DEADLY, endpoints, NOW.plusSeconds(1)));
  }

  // Two engines die at once: the caller sends its request through two entries at the same time,
  // and each runs it alone, at different engines.
  @Test
  void allEntriesRunASuspectAtTheSameEndpointOneAtATime() {
    CountingSuspectTable one = table(0);
    CountingSuspectTable other = table(1);
    List<Effect> told = one.onCrash(new EndpointId("engine-0"), List.of(DEADLY), NOW);
    deliver(told, List.of(other));
    Verdict.Alone first =
        assertInstanceOf(Verdict.Alone.class, one.judge(DEADLY, endpoints(), NOW));
    Verdict.Alone second =
        assertInstanceOf(Verdict.Alone.class, other.judge(DEADLY, endpoints(), NOW));
    assertEquals(first.endpoint(), second.endpoint());
    deliver(one.onAloneStarted(DEADLY, first.endpoint(), NOW), List.of(other));
    assertInstanceOf(Verdict.Wait.class, other.judge(DEADLY, endpoints(), NOW));
    Set<EndpointId> accepting = endpoints();
    accepting.remove(first.endpoint());
    assertInstanceOf(Verdict.Wait.class, other.judge(DEADLY, accepting, NOW));
    assertInstanceOf(Verdict.Wait.class, one.judge(DEADLY, accepting, NOW));
  }

  // A notice of a crash is lost between two entries: it is sent once more, and counts once.
  @Test
  void aNoticeIsSentTwiceAndCountsOnce() {
    CountingSuspectTable table = table(0);
    CountingSuspectTable peer = table(1);
    List<Effect> told = table.onCrash(new EndpointId("engine-0"), List.of(DEADLY), NOW);
    deliver(told, List.of(peer));
    List<Effect> again = table.onTick(NOW.plusMillis(300));
    assertEquals(told, again);
    deliver(again, List.of(peer));
    assertInstanceOf(Verdict.Alone.class, peer.judge(DEADLY, endpoints(), NOW));
    assertEquals(List.of(), table.onTick(NOW.plusMillis(600)));
  }

  @Test
  void suspicionEndsWithItsMemoryAndTheTableIsBounded() {
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

  /** Resends the deadly request through one entry after the other and counts the crashes. */
  private static int endpointsLost(List<SuspectTable> fleet) {
    Set<EndpointId> alive = endpoints();
    int lost = 0;
    for (int i = 0; i < ENTRIES; i++) {
      SuspectTable entry = fleet.get(i);
      Verdict verdict = entry.judge(DEADLY, alive, NOW);
      if (verdict instanceof Verdict.Refused refused) {
        assertEquals(RefusalReason.CRASHES_ENDPOINTS, refused.refusal().reason());
        assertEquals(RunStatus.MAY_HAVE_RUN, refused.refusal().run());
        continue;
      }
      EndpointId victim = alive.iterator().next();
      if (verdict instanceof Verdict.Alone alone) {
        victim = alone.endpoint();
        deliver(entry.onAloneStarted(DEADLY, victim, NOW), fleet);
      }
      assertTrue(alive.remove(victim));
      lost++;
      deliver(entry.onCrash(victim, List.of(DEADLY), NOW), fleet);
    }
    return lost;
  }

  private static void deliver(List<Effect> effects, List<? extends SuspectTable> tables) {
    for (Effect effect : effects) {
      PeerMessage message = ((SpreadPeerMessage) effect).message();
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
