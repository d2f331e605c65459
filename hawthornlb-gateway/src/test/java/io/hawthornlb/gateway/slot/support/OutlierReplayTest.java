package io.hawthornlb.gateway.slot.support;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.hawthornlb.gateway.endpoint.EndpointDirectory;
import io.hawthornlb.gateway.endpoint.EndpointIncarnation;
import io.hawthornlb.gateway.endpoint.EndpointRecord;
import io.hawthornlb.gateway.slot.RequestQuota;
import io.hawthornlb.gateway.slot.SlotAnswer;
import io.hawthornlb.gateway.slot.SlotKey;
import io.hawthornlb.gateway.slot.SlotOutcome;
import io.hawthornlb.gateway.slot.SlotRequest;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Simulates requests to six endpoints, one of which fails 45 requests of 100 within 20 ms while its
 * health checks pass. Guards against callers that get errors although five healthy endpoints have
 * free slots: the failing endpoint is free most often, and each success ends the penalty for the
 * failure before it.
 */
class OutlierReplayTest {

  private static final int ENDPOINTS = 6;
  private static final int SLOTS = 8;
  private static final int RUN_MILLIS = 20_000;
  private static final int REQUESTS_PER_SECOND = 40;
  private static final int USE_MILLIS = 600;
  private static final int ERROR_MILLIS = 20;
  private static final double FAILING = 0.45;

  /** Baseline settings, under which no endpoint ever counts as failing. */
  private static final SlotSettings BASELINE =
      SlotSettings.builder().outlierShare(Double.POSITIVE_INFINITY).build();

  private final CoordinatorFixture fixture = new CoordinatorFixture();

  private record End(Instant at, SlotKey key, SlotOutcome outcome) {}

  private record Result(int asked, int failed) {

    private double share() {
      return (double) failed / asked;
    }
  }

  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3, 4, 5})
  void losesFewRequestsToAnEndpointThatFailsSomeRequests(long seed) {
    Result detecting = replay(seed, SlotSettings.DEFAULT);
    Result baseline = replay(seed, BASELINE);
    System.out.println(
        "outliers: seed " + seed + " with detection " + detecting + ", baseline " + baseline);
    assertTrue(detecting.share() < 0.02, detecting.toString());
    assertTrue(baseline.share() > 4 * detecting.share(), baseline + " compared with " + detecting);
  }

  @Test
  void usesAnEndpointThatFailsSomeRequestsIfNoOtherHasAFreeSlot() {
    fixture.endpoint("bad", "a", 8).endpoint("good", "a", 1);
    endAt("bad", SlotOutcome.ANSWERED);
    endAt("bad", SlotOutcome.ANSWERED);
    endAt("bad", SlotOutcome.ERROR);
    SlotRequest first = fixture.online("a");
    assertEquals("good", fixture.granted(first));
    assertEquals("bad", fixture.granted(fixture.online("a")));
  }

  /** Guards against immediate errors where waiting or retrying later is better for the caller. */
  @Test
  void sendsNothingToAnEndpointThatFailsAllRequests() {
    fixture.endpoint("bad", "a", 8).endpoint("good", "a", 1).endpoint("other", "a", 1);
    failAt("bad");
    fixture.granted(fixture.online("a"));
    fixture.granted(fixture.online("a"));
    SlotRequest second = fixture.online("a");
    assertEquals(
        List.of(new SlotAnswer.Waiting(second.key(), second.maxWait())), fixture.ask(second));
  }

  /**
   * Guards against requests that wait in vain while new requests get the slots that become free.
   */
  @Test
  void servesWaitingRequestsIfAllEndpointsFail() {
    fixture.endpoint("one", "a", SLOTS).endpoint("other", "b", SLOTS);
    for (String endpoint : List.of("one", "other")) {
      endAt(endpoint, "a", SlotOutcome.ERROR);
      endAt(endpoint, "b", SlotOutcome.ERROR);
      endAt(endpoint, "a", SlotOutcome.ERROR);
    }
    SlotRequest first = fixture.online("c");
    String granted = fixture.granted(first);
    for (int i = 1; i < 2 * SLOTS; i++) {
      fixture.granted(fixture.online("c"));
    }
    SlotRequest waits = fixture.online("c");
    assertEquals(List.of(new SlotAnswer.Waiting(waits.key(), waits.maxWait())), fixture.ask(waits));
    assertEquals(
        List.of(new SlotAnswer.Granted(waits.key(), EndpointIncarnation.ofUnknownStart(granted))),
        fixture.release(first, SlotOutcome.ANSWERED));
  }

  /**
   * Guards against each data centre having to detect a failing endpoint that others have already
   * detected.
   */
  @Test
  void avoidsAnEndpointForAllAfterTwoDataCentresGotErrors() {
    fixture.endpoint("bad", "a", 8).endpoint("good", "b", 8);
    endAt("bad", "a", SlotOutcome.ERROR);
    endAt("bad", "b", SlotOutcome.ERROR);
    endAt("bad", "a", SlotOutcome.ERROR);
    assertEquals("good", fixture.granted(fixture.online("c")));
  }

  /**
   * Guards against a network partition that makes an endpoint unusable for gateways in its own data
   * centre.
   */
  @Test
  void keepsAnEndpointUsableOnItsOwnSideOfANetworkPartition() {
    fixture.endpoint("bad", "b", 8).endpoint("good", "a", 8).endpoint("other", "a", 8);
    endAt("bad", "a", SlotOutcome.FAILED);
    fixture.advance(SlotSettings.DEFAULT.firstPenalty());
    endAt("bad", "a", SlotOutcome.FAILED);
    assertEquals("bad", fixture.granted(fixture.online("b")));
  }

  /**
   * Guards against each data centre having to detect an endpoint that is silent even within its own
   * data centre.
   */
  @Test
  void avoidsAnEndpointForAllAfterFailuresWithinItsOwnDataCentre() {
    fixture.endpoint("bad", "b", 8).endpoint("good", "a", 1).endpoint("other", "a", 8);
    endAt("bad", "b", SlotOutcome.FAILED);
    fixture.advance(SlotSettings.DEFAULT.firstPenalty());
    endAt("bad", "b", SlotOutcome.FAILED);
    assertNotEquals("bad", fixture.granted(fixture.online("c")));
    assertNotEquals("bad", fixture.granted(fixture.online("c")));
  }

  /** Guards against seven immediate errors when an endpoint that still fails is used again. */
  @Test
  void probesAFailingEndpointWithOneRequestAtATime() {
    fixture.endpoint("bad", "a", 8).endpoint("good", "b", 8);
    failAt("bad");
    fixture.advance(SlotSettings.DEFAULT.outlierTime());
    SlotRequest probe = fixture.online("a");
    assertEquals("bad", fixture.granted(probe));
    assertEquals("good", fixture.granted(fixture.online("a")));
    fixture.release(probe, SlotOutcome.ANSWERED);
    assertEquals("bad", fixture.granted(fixture.online("a")));
  }

  @Test
  void sendsNoItemsToAFailingEndpoint() {
    fixture.endpoint("bad", "a", 8).endpoint("good", "a", 3);
    failAt("bad");
    for (int i = 0; i < 3; i++) {
      assertEquals("good", fixture.granted(fixture.batch(fixture.now)));
    }
    SlotRequest waits = fixture.batch(fixture.now);
    assertEquals(List.of(new SlotAnswer.Waiting(waits.key(), waits.maxWait())), fixture.ask(waits));
  }

  @Test
  void avoidsAnEndpointForTheDataCentreThatObservedItsFailures() {
    fixture.endpoint("bad", "a", 8).endpoint("good", "b", 8);
    failAt("bad");
    assertEquals("good", fixture.granted(fixture.online("a")));
    assertEquals("bad", fixture.granted(fixture.online("c")));
  }

  @Test
  void probesAnAvoidedEndpointLater() {
    fixture.endpoint("bad", "a", 8).endpoint("good", "b", 8);
    failAt("bad");
    assertNotEquals("bad", fixture.granted(fixture.online("a")));
    fixture.advance(SlotSettings.DEFAULT.outlierTime());
    assertEquals("bad", fixture.granted(fixture.online("a")));
  }

  private void failAt(String endpoint) {
    for (int i = 0; i < 3; i++) {
      endAt(endpoint, SlotOutcome.ERROR);
    }
  }

  private void endAt(String endpoint, SlotOutcome outcome) {
    endAt(endpoint, "a", outcome);
  }

  /** Uses an endpoint from a data centre and ends the use with an outcome. */
  private void endAt(String endpoint, String dataCentre, SlotOutcome outcome) {
    Set<EndpointIncarnation> others =
        Set.copyOf(
            fixture.directory.usable(CoordinatorFixture.SERVICE).stream()
                .map(EndpointRecord::incarnation)
                .filter(incarnation -> !incarnation.id().equals(endpoint))
                .toList());
    SlotRequest request = fixture.request(dataCentre, false, 0, others);
    assertEquals(endpoint, fixture.granted(request));
    fixture.release(request, outcome);
  }

  private static Result replay(long seed, SlotSettings settings) {
    Random random = new Random(seed);
    EndpointDirectory directory = new EndpointDirectory();
    for (int i = 0; i < ENDPOINTS; i++) {
      InetSocketAddress nowhere = new InetSocketAddress("127.0.0.1", 1);
      directory.put(new EndpointRecord("e" + i, "engine", nowhere, "a", SLOTS, false));
    }
    DefaultSlotCoordinator coordinator =
        new DefaultSlotCoordinator(
            "engine", directory, settings, RequestQuota.UNLIMITED, fingerprint -> {});
    PriorityQueue<End> ends = new PriorityQueue<>((left, right) -> left.at().compareTo(right.at()));
    Instant start = Instant.parse("2026-01-01T00:00:00Z");
    Result result = new Result(0, 0);
    for (int millis = 0; millis < RUN_MILLIS; millis += 1_000 / REQUESTS_PER_SECOND) {
      Instant now = start.plusMillis(millis);
      while (!ends.isEmpty() && !ends.peek().at().isAfter(now)) {
        End end = ends.poll();
        coordinator.release(end.key(), end.outcome(), end.at());
      }
      SlotKey key = new SlotKey("g", millis);
      SlotRequest request =
          SlotRequest.builder(key, "engine")
              .dataCentre("a")
              .maxWait(Duration.ofMillis(150))
              .build();
      for (SlotAnswer answer : coordinator.request(request, now)) {
        if (answer instanceof SlotAnswer.Granted granted) {
          boolean fails = granted.endpoint().equals("e0") && random.nextDouble() < FAILING;
          int use = fails ? ERROR_MILLIS : USE_MILLIS / 2 + random.nextInt(USE_MILLIS);
          SlotOutcome outcome = fails ? SlotOutcome.ERROR : SlotOutcome.ANSWERED;
          ends.add(new End(now.plusMillis(use), key, outcome));
          result = new Result(result.asked() + 1, result.failed() + (fails ? 1 : 0));
        }
      }
    }
    return result;
  }
}
