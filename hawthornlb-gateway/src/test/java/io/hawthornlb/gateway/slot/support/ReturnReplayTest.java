package io.hawthornlb.gateway.slot.support;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.hawthornlb.gateway.endpoint.EndpointDirectory;
import io.hawthornlb.gateway.endpoint.EndpointRecord;
import io.hawthornlb.gateway.slot.SlotAnswer;
import io.hawthornlb.gateway.slot.SlotKey;
import io.hawthornlb.gateway.slot.SlotOutcome;
import io.hawthornlb.gateway.slot.SlotRequest;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Replays waves whose crests bring more requests than slots free up for 2.4 s of every 6 s; a
 * caller that is refused comes back once, when it was told to. Callers are refused a second time,
 * for good, although slots are idle a second later: they were told to come back into the same
 * crest.
 */
class ReturnReplayTest {

  private static final int ENDPOINTS = 6;
  private static final int SLOTS = 8;
  private static final int RUN_MILLIS = 24_000;
  private static final int USE_MILLIS = 640;
  private static final Duration PATIENCE = Duration.ofSeconds(3);
  private static final Duration MAX_WAIT = Duration.ofMillis(150);

  /** Longest time after which callers come back; they wait a third of their 5 s at most. */
  private static final int MAX_RETURN_MILLIS = 1_600;

  /** Settings under which a refused caller keeps no place. */
  private static final SlotSettings NAIVE =
      SlotSettings.builder().returnTime(Duration.ofMillis(-1)).build();

  @ParameterizedTest
  @CsvSource({"1,43", "2,43", "3,50", "4,50", "5,60", "6,60"})
  void refusesNextToNoCallersTwice(long seed, double requestsPerSecond) {
    Replay guarded = new Replay(seed, requestsPerSecond, SlotSettings.DEFAULT);
    Replay naive = new Replay(seed, requestsPerSecond, NAIVE);
    guarded.run();
    naive.run();
    System.out.println("returns: seed " + seed + " guarded " + guarded + ", naive " + naive);
    assertTrue(10 * guarded.lost < naive.lost, guarded + " against " + naive);
    assertTrue(guarded.servedAtOnce >= naive.servedAtOnce, guarded + " against " + naive);
  }

  /** Newcomers are not all late because callers that were refused are served before them. */
  @Test
  void servesNewcomersFirst() {
    CoordinatorFixture fixture = new CoordinatorFixture().endpoint("e", "a", 1);
    SlotRequest running = fixture.online("a");
    fixture.granted(running);
    assertInstanceOf(SlotAnswer.Refused.class, fixture.ask(request(1, 7, Duration.ZERO)).get(0));
    fixture.advance(Duration.ofMillis(200));
    SlotRequest back = request(2, 7, Duration.ZERO);
    assertEquals(List.of(new SlotAnswer.Waiting(back.key(), PATIENCE)), fixture.ask(back));
    SlotRequest newcomer = request(3, 8, PATIENCE);
    assertInstanceOf(SlotAnswer.Waiting.class, fixture.ask(newcomer).get(0));
    assertEquals(newcomer.key(), fixture.release(running, SlotOutcome.ANSWERED).get(0).key());
    assertEquals(back.key(), fixture.release(newcomer, SlotOutcome.ANSWERED).get(0).key());
  }

  /** A caller is told to come back into the same crest, whose usual length is known by then. */
  @Test
  void tellsWhenTheCrestIsUsuallyOver() {
    OverloadSpell spell = new OverloadSpell();
    Instant at = Instant.parse("2026-01-01T00:00:00Z");
    for (int crest = 0; crest < 12; crest++) {
      for (int millis = 0; millis <= 800; millis += 100) {
        spell.refused(at.plusMillis(millis));
      }
      spell.eased(at.plusMillis(1_200));
      at = at.plusSeconds(6);
    }
    spell.refused(at);
    assertEquals(800, spell.remaining(at).toMillis(), 20);
    assertEquals(300, spell.remaining(at.plusMillis(500)).toMillis(), 20);
    assertEquals(5_000, spell.remaining(at.plusSeconds(10)).toMillis());
  }

  private static SlotRequest request(long number, long fingerprint, Duration maxWait) {
    return new SlotRequest(
        new SlotKey("g", number),
        "engine",
        false,
        0,
        Duration.ZERO,
        "a",
        maxWait,
        PATIENCE,
        fingerprint,
        Set.of());
  }

  /** One run in virtual time. */
  private static final class Replay {

    private final Random random;
    private final double requestsPerSecond;
    private final DefaultSlotCoordinator coordinator;
    private final PriorityQueue<Due> due =
        new PriorityQueue<>((left, right) -> Integer.compare(left.at(), right.at()));
    private final Map<SlotKey, Long> callers = new HashMap<>();
    private final Set<Long> refusedOnce = new HashSet<>();
    private final Instant start = Instant.parse("2026-01-01T00:00:00Z");
    private int now;
    private long numbers;
    private int asked;
    private int servedAtOnce;
    private int lost;

    private record Due(int at, Runnable action) {}

    private Replay(long seed, double requestsPerSecond, SlotSettings settings) {
      this.requestsPerSecond = requestsPerSecond;
      random = new Random(seed);
      EndpointDirectory directory = new EndpointDirectory();
      for (int i = 0; i < ENDPOINTS; i++) {
        InetSocketAddress nowhere = new InetSocketAddress("127.0.0.1", 1);
        directory.put(new EndpointRecord("e" + i, "engine", nowhere, "a", SLOTS, false));
      }
      coordinator = new DefaultSlotCoordinator("engine", directory, settings, barred -> {});
    }

    private void run() {
      double at = 0;
      while (at < RUN_MILLIS) {
        double factor = at % 6_000 < 3_600 ? 0.39 : 1.91;
        at += -Math.log(1 - random.nextDouble()) * 1_000 / (requestsPerSecond * factor);
        asked++;
        long caller = asked;
        due.add(new Due((int) at, () -> ask(caller)));
      }
      for (int millis = 0; millis < RUN_MILLIS + 5_000; millis += 20) {
        due.add(new Due(millis, () -> take(coordinator.tick(instant()))));
      }
      while (!due.isEmpty()) {
        Due next = due.poll();
        now = next.at();
        next.action().run();
      }
    }

    private Instant instant() {
      return start.plusMillis(now);
    }

    private void ask(long caller) {
      numbers++;
      SlotRequest request = request(numbers, caller, MAX_WAIT);
      callers.put(request.key(), caller);
      take(coordinator.request(request, instant()));
    }

    private void take(Iterable<SlotAnswer> answers) {
      for (SlotAnswer answer : answers) {
        if (answer instanceof SlotAnswer.Granted) {
          servedAtOnce += refusedOnce.contains(callers.get(answer.key())) ? 0 : 1;
          int use = USE_MILLIS / 2 + random.nextInt(USE_MILLIS);
          due.add(new Due(now + use, () -> release(answer.key())));
        } else if (answer instanceof SlotAnswer.Refused refused) {
          refused(callers.get(answer.key()), refused.retryAfter());
        }
      }
    }

    private void release(SlotKey key) {
      take(coordinator.release(key, SlotOutcome.ANSWERED, instant()));
    }

    private void refused(long caller, Duration retryAfter) {
      if (!refusedOnce.add(caller)) {
        lost++;
        return;
      }
      int back = (int) Math.min(MAX_RETURN_MILLIS, retryAfter.toMillis()) + 20;
      due.add(new Due(now + back, () -> ask(caller)));
    }

    @Override
    public String toString() {
      return "asked " + asked + ", served at once " + servedAtOnce + ", lost " + lost;
    }
  }
}
