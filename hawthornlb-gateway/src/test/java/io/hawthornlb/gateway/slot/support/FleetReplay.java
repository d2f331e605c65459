package io.hawthornlb.gateway.slot.support;

import io.hawthornlb.gateway.slot.SlotAnswer;
import io.hawthornlb.gateway.slot.SlotKey;
import io.hawthornlb.gateway.slot.SlotOutcome;
import io.hawthornlb.gateway.slot.SlotRequest;
import java.time.Instant;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;

/**
 * Simulates, in virtual time, waves of requests from six data centres to 47 endpoints of seven
 * slots each. Subclasses define how endpoints handle the requests.
 */
abstract class FleetReplay {

  private static final int DATA_CENTRES = 6;
  private static final int ENDPOINTS = 47;
  private static final int SLOTS = 7;
  private static final double REQUESTS_PER_SECOND = 242;
  private static final int USE_MILLIS = 720;
  private static final int TICK_MILLIS = 20;
  private static final int RENEW_MILLIS = 1_000;

  final Random random;
  final CoordinatorFixture fixture;
  final VirtualTime time = new VirtualTime();

  private final Instant start;
  private final Set<String> faulty = new HashSet<>();
  private final Map<SlotKey, SlotRequest> waiting = new HashMap<>();
  private int asked;

  FleetReplay(long seed, SlotSettings settings, int faultyEndpoints) {
    this.random = new Random(seed);
    this.fixture = new CoordinatorFixture(settings);
    this.start = fixture.now;
    for (int i = 0; i < ENDPOINTS; i++) {
      fixture.endpoint("e" + i, dataCentre(i), SLOTS);
    }
    while (faulty.size() < faultyEndpoints) {
      faulty.add("e" + random.nextInt(ENDPOINTS));
    }
  }

  /** Handles a request that was granted a slot. */
  abstract void use(SlotRequest request, String endpoint);

  /** Returns whether an endpoint is one of those that are faulty at times. */
  boolean faulty(String endpoint) {
    return faulty.contains(endpoint);
  }

  int asked() {
    return asked;
  }

  /** Simulates arrivals until a moment, and continues without arrivals to the end. */
  void replay(int arriveUntil, int end) {
    double at = 0;
    while (at < arriveUntil) {
      double factor = at % 6_000 < 3_600 ? 0.39 : 1.91;
      at += -Math.log(1 - random.nextDouble()) * 1_000 / (REQUESTS_PER_SECOND * factor);
      time.at((int) at, this::arrive);
    }
    time.every(TICK_MILLIS, end, () -> take(fixture.tick()));
    time.every(RENEW_MILLIS, end, fixture::renew);
    time.runUntil(end, millis -> fixture.now = start.plusMillis(millis));
  }

  void ask(String dataCentre) {
    SlotRequest request = fixture.online(dataCentre);
    waiting.put(request.key(), request);
    take(fixture.ask(request));
  }

  void release(SlotRequest request, SlotOutcome outcome) {
    fixture.ended(request.key());
    take(fixture.release(request, outcome));
  }

  int usualLength() {
    return USE_MILLIS / 2 + random.nextInt(USE_MILLIS);
  }

  private static String dataCentre(int number) {
    return String.valueOf((char) ('a' + number % DATA_CENTRES));
  }

  private void arrive() {
    asked++;
    ask(dataCentre(random.nextInt(DATA_CENTRES)));
  }

  private void take(List<SlotAnswer> answers) {
    for (SlotAnswer answer : answers) {
      if (answer instanceof SlotAnswer.Granted granted) {
        SlotRequest request = waiting.remove(granted.key());
        fixture.began(request, granted.endpoint());
        use(request, granted.endpoint());
      } else if (answer instanceof SlotAnswer.Refused) {
        waiting.remove(answer.key());
      }
    }
  }
}
