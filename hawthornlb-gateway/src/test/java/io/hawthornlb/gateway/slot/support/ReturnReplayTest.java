package io.hawthornlb.gateway.slot.support;

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
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Replays waves whose crests bring more requests than slots free up for 2.4 s of every 6 s; a
 * caller that is refused comes back once, when it was told to. Callers are refused a second time,
 * for good, although others that came later are served: those who come back meet the same crest and
 * stand behind all newcomers.
 */
class ReturnReplayTest {

  private static final int ENDPOINTS = 6;
  private static final int SLOTS = 8;
  private static final int RUN_MILLIS = 24_000;
  private static final double REQUESTS_PER_SECOND = 43;
  private static final int USE_MILLIS = 640;
  private static final Duration MAX_WAIT = Duration.ofMillis(150);

  /** Longest time after which callers come back; they wait a third of their 5 s at most. */
  private static final int MAX_RETURN_MILLIS = 1_600;

  /** Settings under which a refused caller keeps no place. */
  private static final SlotSettings NAIVE =
      new SlotSettings(
          SlotSettings.DEFAULT.leaseTime(),
          SlotSettings.DEFAULT.firstPenalty(),
          SlotSettings.DEFAULT.maxPenalty(),
          SlotSettings.DEFAULT.shedPenalty(),
          SlotSettings.DEFAULT.cutPenalty(),
          SlotSettings.DEFAULT.tryTime(),
          SlotSettings.DEFAULT.outlierShare(),
          SlotSettings.DEFAULT.outlierTime(),
          SlotSettings.DEFAULT.maxOutlierTime(),
          Duration.ofMillis(-1));

  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3, 4, 5})
  void refusesFewCallersTwice(long seed) {
    Replay guarded = new Replay(seed, SlotSettings.DEFAULT);
    Replay naive = new Replay(seed, NAIVE);
    guarded.run();
    naive.run();
    System.out.println("returns: seed " + seed + " guarded " + guarded + ", naive " + naive);
    assertTrue(3 * guarded.lost < naive.lost, guarded + " against " + naive);
    assertTrue(guarded.served >= naive.served, guarded + " against " + naive);
  }

  /** A caller that was refused comes back while others wait, and is served before them. */
  @Test
  void keepsThePlaceOfACallerThatWasRefused() {
    CoordinatorFixture fixture = new CoordinatorFixture().endpoint("e", "a", 1);
    SlotRequest running = fixture.online("a");
    fixture.granted(running);
    SlotRequest first = request(1, 7, Duration.ZERO);
    assertInstanceOf(SlotAnswer.Refused.class, fixture.ask(first).get(0));
    fixture.advance(Duration.ofMillis(200));
    assertInstanceOf(SlotAnswer.Waiting.class, fixture.ask(request(2, 8, MAX_LONG)).get(0));
    fixture.advance(Duration.ofMillis(50));
    SlotRequest back = request(3, 7, MAX_LONG);
    assertInstanceOf(SlotAnswer.Waiting.class, fixture.ask(back).get(0));
    SlotAnswer next = fixture.release(running, SlotOutcome.ANSWERED).get(0);
    assertTrue(next.key().equals(back.key()), next.toString());
  }

  private static final Duration MAX_LONG = Duration.ofSeconds(5);

  private static SlotRequest request(long number, long fingerprint, Duration maxWait) {
    return new SlotRequest(
        new SlotKey("g", number), "engine", false, 0, "a", maxWait, fingerprint, Set.of());
  }

  /** One run in virtual time. */
  private static final class Replay {

    private final Random random;
    private final DefaultSlotCoordinator coordinator;
    private final PriorityQueue<Due> due =
        new PriorityQueue<>((left, right) -> Integer.compare(left.at(), right.at()));
    private final Map<SlotKey, Long> callers = new HashMap<>();
    private final Set<Long> refusedOnce = new HashSet<>();
    private final Instant start = Instant.parse("2026-01-01T00:00:00Z");
    private int now;
    private long numbers;
    private int asked;
    private int served;
    private int lost;

    private record Due(int at, Runnable action) {}

    private Replay(long seed, SlotSettings settings) {
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
        at += -Math.log(1 - random.nextDouble()) * 1_000 / (REQUESTS_PER_SECOND * factor);
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
          served++;
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
      return "asked " + asked + ", served " + served + ", lost " + lost;
    }
  }
}
