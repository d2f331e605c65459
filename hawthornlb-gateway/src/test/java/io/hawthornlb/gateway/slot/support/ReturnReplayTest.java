package io.hawthornlb.gateway.slot.support;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.hawthornlb.gateway.endpoint.EndpointDirectory;
import io.hawthornlb.gateway.endpoint.EndpointRecord;
import io.hawthornlb.gateway.slot.RequestQuota;
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
 * Simulates waves whose peaks bring more requests than slots become free, for 2.4 s of every 6 s. A
 * refused caller returns once, at the time that it was told. Guards against callers that are
 * refused a second time, which is final, although slots are idle a second later, because they were
 * told to return into the same peak.
 */
class ReturnReplayTest {

  private static final int ENDPOINTS = 6;
  private static final int SLOTS = 8;
  private static final int RUN_MILLIS = 24_000;
  private static final int USE_MILLIS = 640;
  private static final Duration PATIENCE = Duration.ofSeconds(3);
  private static final Duration MAX_WAIT = Duration.ofMillis(150);

  /** Longest time after which callers return; they wait at most a third of their 5 s. */
  private static final int MAX_RETURN_MILLIS = 1_600;

  /** Baseline settings, under which refused callers are not remembered. */
  private static final SlotSettings BASELINE =
      SlotSettings.builder().returnTime(Duration.ofMillis(-1)).build();

  @ParameterizedTest
  @CsvSource({"1,43", "2,43", "3,50", "4,50", "5,60", "6,60"})
  void refusesVeryFewCallersTwice(long seed, double requestsPerSecond) {
    Replay remembering = new Replay(seed, requestsPerSecond, SlotSettings.DEFAULT);
    Replay baseline = new Replay(seed, requestsPerSecond, BASELINE);
    remembering.run();
    baseline.run();
    System.out.println(
        "returns: seed " + seed + " remembering " + remembering + ", baseline " + baseline);
    assertTrue(10 * remembering.lost < baseline.lost, remembering + " compared with " + baseline);
    assertTrue(
        remembering.servedAtOnce >= baseline.servedAtOnce,
        remembering + " compared with " + baseline);
  }

  /**
   * Guards against new requests that are all late because returning requests are served before
   * them.
   */
  @Test
  void servesNewRequestsBeforeReturningOnes() {
    CoordinatorFixture fixture = new CoordinatorFixture().endpoint("e", "a", 1);
    SlotRequest running = fixture.online("a");
    fixture.granted(running);
    assertInstanceOf(SlotAnswer.Refused.class, fixture.ask(request(1, 7, Duration.ZERO)).get(0));
    fixture.advance(Duration.ofMillis(200));
    SlotRequest returning = request(2, 7, Duration.ZERO);
    assertEquals(
        List.of(new SlotAnswer.Waiting(returning.key(), PATIENCE)), fixture.ask(returning));
    SlotRequest newRequest = request(3, 8, PATIENCE);
    assertInstanceOf(SlotAnswer.Waiting.class, fixture.ask(newRequest).get(0));
    assertEquals(newRequest.key(), fixture.release(running, SlotOutcome.ANSWERED).get(0).key());
    assertEquals(returning.key(), fixture.release(newRequest, SlotOutcome.ANSWERED).get(0).key());
  }

  /**
   * Guards against a caller that is told to return into the same load peak although the usual
   * length of peaks is known by then.
   */
  @Test
  void estimatesTheEndOfThePeakFromItsUsualLength() {
    OverloadPeriod overload = new OverloadPeriod();
    Instant at = Instant.parse("2026-01-01T00:00:00Z");
    for (int peak = 0; peak < 12; peak++) {
      for (int millis = 0; millis <= 800; millis += 100) {
        overload.refused(at.plusMillis(millis));
      }
      overload.slotFound(at.plusMillis(1_200));
      at = at.plusSeconds(6);
    }
    overload.refused(at);
    assertEquals(800, overload.remaining(at).toMillis(), 20);
    assertEquals(300, overload.remaining(at.plusMillis(500)).toMillis(), 20);
    assertEquals(5_000, overload.remaining(at.plusSeconds(10)).toMillis());
  }

  private static SlotRequest request(long number, long fingerprint, Duration maxWait) {
    return SlotRequest.builder(new SlotKey("g", number), "engine")
        .dataCentre("a")
        .maxWait(maxWait)
        .patience(PATIENCE)
        .fingerprint(fingerprint)
        .build();
  }

  /** One simulation in virtual time. */
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
      coordinator =
          new DefaultSlotCoordinator(
              "engine", directory, settings, RequestQuota.UNLIMITED, barred -> {});
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
      int returning = (int) Math.min(MAX_RETURN_MILLIS, retryAfter.toMillis()) + 20;
      due.add(new Due(now + returning, () -> ask(caller)));
    }

    @Override
    public String toString() {
      return "asked " + asked + ", served at once " + servedAtOnce + ", lost " + lost;
    }
  }
}
