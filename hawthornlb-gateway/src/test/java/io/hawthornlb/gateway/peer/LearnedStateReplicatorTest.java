package io.hawthornlb.gateway.peer;

import static io.hawthornlb.gateway.peer.LearnedFleet.SERVICE;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.hawthornlb.core.learned.IncarnationPace;
import io.hawthornlb.core.learned.LearnedState;
import io.hawthornlb.gateway.learned.LearnedStateCodecTest;
import io.hawthornlb.gateway.learned.LearnedStateStore;
import io.hawthornlb.gateway.slot.SlotRequest;
import io.hawthornlb.gateway.store.LogStore.AppendCall;
import io.hawthornlb.gateway.store.LogStore.KeyedRecord;
import java.time.Duration;
import java.util.Collections;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class LearnedStateReplicatorTest {

  private static final Duration SECOND = Duration.ofSeconds(1);

  private final LearnedFleet fleet = new LearnedFleet(4, 62);
  private final List<LearnedFleet.Node> ranked = fleet.ranked();
  private final LearnedFleet.Node first = ranked.get(0);
  private final LearnedFleet.Node second = ranked.get(1);

  /** Guards against a successor of a lost coordinator that starts without what it had learned. */
  @Test
  void successorRestoresTheState() {
    fleet.store.away = true;
    first.learner.state = LearnedStateCodecTest.state(62);
    fleet.serve(SECOND.multipliedBy(5), first);
    fleet.reaches = (from, to) -> !from.equals(first.name) && !to.equals(first.name);
    for (LearnedFleet.Node successor : List.of(second, ranked.get(2))) {
      fleet.serve(Duration.ofMillis(100), successor);
      int ago =
          first.learner.state.usualOutputTokens() - successor.learner.state.usualOutputTokens();
      assertTrue(ago >= 0 && ago <= 20, "requests not known: " + ago);
      assertEquals(first.learner.state.paces(), successor.learner.state.paces());
      assertTrue(successor.log.events().contains("slot.learned.restored"));
    }
    fleet.serve(Duration.ofMillis(100), ranked.get(3));
    assertEquals(0, ranked.get(3).learner.state.paces().size());
  }

  /** Guards against a coordinator that gives up its own learning when a partition heals. */
  @Test
  void sidesOfANetworkPartitionLearnOnTheirOwn() {
    first.learner.state = LearnedStateCodecTest.state(62);
    fleet.serve(SECOND.multipliedBy(3), first);
    fleet.reaches = (from, to) -> from.equals(first.name) == to.equals(first.name);
    second.fleet.recordSilence(first.name, fleet.time.instant());
    fleet.serve(SECOND, first, second);
    assertEquals(1, second.learner.restoredAges.size());
    first.learner.learn(500);
    second.learner.learn(900);
    fleet.serve(SECOND.multipliedBy(10), first, second);
    fleet.reaches = (from, to) -> true;
    second.fleet.recordContact(first.name);
    fleet.serve(SECOND.multipliedBy(20), first);
    assertEquals(800, first.learner.state.usualOutputTokens());
    assertEquals(0, first.learner.restoredAges.size());
    // The other side restores the newer state of the first when it succeeds it later.
    fleet.serve(Duration.ofMillis(100), second);
    int length = second.learner.state.usualOutputTokens();
    assertTrue(length > 770 && length <= 801, "length: " + length);
  }

  /** Guards against the loss of everything learned when all instances are killed at once. */
  @Test
  void restoresTheStoreAfterAllInstancesWereKilled() {
    first.learner.state = LearnedStateCodecTest.state(62);
    fleet.serve(SECOND.multipliedBy(25), first);
    LearnedState learned = first.learner.state;
    List.copyOf(fleet.nodes.keySet()).forEach(fleet::start);
    fleet.time.advance(SECOND.multipliedBy(8));
    fleet.store.lists = 0;
    LearnedFleet.Node restarted = fleet.ranked().get(0);
    fleet.serve(SECOND, restarted);
    assertEquals(learned.paces(), restarted.learner.state.paces());
    assertEquals(learned.loadCycle(), restarted.learner.state.loadCycle());
    assertTrue(restarted.learner.restoredAges.get(0).compareTo(Duration.ofSeconds(18)) <= 0);
    fleet.serve(SECOND.multipliedBy(20), restarted);
    assertEquals(1, fleet.store.lists);
  }

  /** Guards against a load cycle that is restored long after it was seen. */
  @Test
  void restoresOnlySlowlyChangingFiguresOfAnOldRecord() {
    first.learner.state = LearnedStateCodecTest.state(62);
    fleet.serve(SECOND.multipliedBy(3), first);
    fleet.time.advance(SECOND.multipliedBy(4));
    fleet.time.advanceInOneStep(Duration.ofSeconds(90));
    fleet.start(first.name);
    LearnedFleet.Node restarted = fleet.nodes.get(first.name);
    fleet.serve(Duration.ofMillis(100), restarted);
    assertEquals(62, restarted.learner.state.paces().size());
    assertNull(restarted.learner.state.loadCycle());
  }

  /** Guards against calls that are repeated while the store is away, and against failures by it. */
  @Test
  void toleratesAnUnavailableStore() {
    fleet.store.away = true;
    first.learner.state = LearnedStateCodecTest.state(62);
    fleet.serve(SECOND.multipliedBy(61), first);
    assertTrue(fleet.store.appends <= 7, "appends: " + fleet.store.appends);
    assertEquals(1, fleet.store.lists);
  }

  /** Guards against a late answer of the store that replaces what was learned meanwhile. */
  @Test
  void ignoresALateAnswerOfTheStore() {
    first.learner.state = LearnedStateCodecTest.state(62);
    fleet.serve(SECOND.multipliedBy(3), first);
    fleet.start(first.name);
    fleet.store.delay = Duration.ofSeconds(4);
    LearnedFleet.Node restarted = fleet.nodes.get(first.name);
    fleet.serve(SECOND.multipliedBy(8), restarted);
    assertEquals(List.of(), restarted.learner.restoredAges);
    assertEquals(79, restarted.learner.state.usualOutputTokens());
  }

  /** Guards against an answer of the store that undoes what was learned since the takeover. */
  @Test
  void restoresAReceivedStateOnlyOnce() {
    first.learner.state = LearnedStateCodecTest.state(62);
    fleet.store.delay = Duration.ofMillis(2_500);
    fleet.serve(SECOND.multipliedBy(5), first);
    fleet.reaches = (from, to) -> !from.equals(first.name);
    fleet.serve(SECOND.multipliedBy(4), second);
    assertEquals(1, second.learner.restoredAges.size());
  }

  /** Guards against an instance, asked by mistake, that overwrites the coordinator's state. */
  @Test
  void sendsAndWritesOnlyAsTheFirstInRank() {
    second.learner.state = LearnedStateCodecTest.state(62);
    fleet.serve(SECOND.multipliedBy(5), second);
    assertEquals(0, fleet.datagrams.size() + fleet.store.appends);
  }

  /** Guards against foreign records and datagrams that fail the receiver or fill its log. */
  @Test
  void ignoresForeignBytesWithOneLine() {
    for (int i = 0; i < 3; i++) {
      second.replicator.onMessage(
          first.name, new PeerMessage.Learned(SERVICE, 1, Duration.ZERO, new byte[] {2, 0}));
    }
    assertEquals(1, Collections.frequency(second.log.events(), "slot.learned.ignored"));
    byte[] foreign = {(byte) 0xc6, 0x7f};
    List<KeyedRecord> records =
        List.of(new KeyedRecord(SERVICE, foreign), new KeyedRecord("", new byte[0]));
    fleet.store.append(new AppendCall(LearnedStateStore.TOPIC, 0, records, null));
    fleet.serve(SECOND, second);
    assertEquals(3, Collections.frequency(second.log.events(), "slot.learned.ignored"));
    assertEquals(List.of(), second.learner.restoredAges);
  }

  /** Guards against the pace of a former incarnation that is taken for that of its successor. */
  @Test
  void ignoresPacesOfEndpointsThatAreNotRunning() {
    first.learner.state =
        LearnedState.builder()
            .pace("server-0", new IncarnationPace(1, 4))
            .pace("gone", new IncarnationPace(1, 4))
            .pace("server-1", new IncarnationPace(1_764_000_000_001L, 4))
            .build();
    fleet.serve(SECOND.multipliedBy(3), first);
    fleet.serve(Duration.ofMillis(100), second);
    assertEquals(List.of("server-1"), List.copyOf(second.learner.state.paces().keySet()));
    assertEquals(1, Collections.frequency(second.log.events(), "slot.learned.ignored"));
  }

  /** Guards against a coordinator that is not connected to the states that are sent to it. */
  @ParameterizedTest
  @ValueSource(booleans = {true, false})
  void slotClientRestoresOnlyWhereCallersCompete(boolean contended) {
    FleetSlotClient client = second.slotClient(contended);
    first.learner.state = LearnedStateCodecTest.state(62);
    fleet.serve(SECOND.multipliedBy(3), first);
    second.fleet.recordSilence(first.name, fleet.time.instant());
    fleet.store.lists = 0;
    client.acquire(SlotRequest.builder(client.nextKey(), SERVICE).build(), answer -> {});
    assertEquals(contended, second.log.events().contains("slot.learned.restored"));
    assertEquals(contended ? 1 : 0, fleet.store.lists);
  }

  /** Guards against datagrams and store calls in a deployment that asks for none of this. */
  @Test
  void doesNothingWhereNoPartIsInEffect() {
    first.learner.active = false;
    first.learner.state = LearnedStateCodecTest.state(62);
    fleet.serve(SECOND.multipliedBy(30), first);
    assertEquals(0, fleet.datagrams.size() + fleet.store.appends + fleet.store.lists);
  }

  /** Guards against a state that is sent or written again although nothing has changed. */
  @Test
  void sendsAndWritesOnlyChanges() {
    first.learner.state = LearnedStateCodecTest.state(5);
    for (int i = 0; i < 40; i++) {
      first.replicator.serving(SERVICE, first.learner, fleet.time.instant());
      fleet.time.advance(SECOND);
    }
    assertEquals(2, fleet.datagrams.size());
    assertEquals(1, fleet.store.appends);
  }

  /** Guards against a load on network and store that grows beyond what was planned. */
  @Test
  void costsLittleInALargeFleet() {
    LearnedFleet large = new LearnedFleet(87, 62);
    LearnedFleet.Node coordinator = large.ranked().get(0);
    coordinator.learner.state = LearnedStateCodecTest.state(62);
    large.serve(SECOND.multipliedBy(60), coordinator);
    int bytes = large.datagrams.stream().mapToInt(each -> each.length).sum();
    int longest = large.datagrams.stream().mapToInt(each -> each.length).max().orElse(0);
    System.out.printf(
        "learned state, 87 instances, 62 endpoints: %.2f datagrams/s, %.0f bytes/s, longest %d"
            + " bytes; store calls a minute: %d writes, %d reads%n",
        large.datagrams.size() / 60.0,
        bytes / 60.0,
        longest,
        large.store.appends,
        large.store.lists);
    assertTrue(longest <= LearnedStateReplicator.MAX_DATAGRAM_BYTES);
    assertTrue(large.datagrams.size() <= 120, "datagrams: " + large.datagrams.size());
    assertTrue(bytes <= 60 * 2_000, "bytes: " + bytes);
    assertTrue(large.store.appends <= 6 && large.store.lists == 1);
  }
}
