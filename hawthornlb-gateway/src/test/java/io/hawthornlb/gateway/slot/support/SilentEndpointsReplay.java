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
 * Waves of requests from six data centres at 47 endpoints, some of which take requests and stay
 * silent, in virtual time. Two of five requests may be moved; the others wait for their deadline.
 */
final class SilentEndpointsReplay {

  private static final int DATA_CENTRES = 6;
  private static final int ENDPOINTS = 47;
  private static final int SLOTS = 7;
  private static final int SILENT = 7;
  private static final int RUN_MILLIS = 20_000;
  private static final int SILENT_FROM = 6_000;
  private static final int SILENT_UNTIL = 13_700;
  private static final double REQUESTS_PER_SECOND = 242;
  private static final double MOVABLE = 0.4;
  private static final int USE_MILLIS = 720;
  private static final int SUSPICIOUS_MILLIS = 240;
  private static final int STALLED_MILLIS = 600;
  private static final int DEADLINE_MILLIS = 5_000;
  private static final int TICK_MILLIS = 20;
  private static final int RENEW_MILLIS = 1_000;

  private final Random random;
  private final CoordinatorFixture fixture = new CoordinatorFixture();
  private final Instant start = fixture.now;
  private final VirtualTime time = new VirtualTime();
  private final Set<String> silent = new HashSet<>();
  private final Map<SlotKey, SlotRequest> waiting = new HashMap<>();
  private int asked;
  private int served;
  private int lost;

  /** What became of the requests; the rest was refused. */
  record Result(int asked, int served, int lost) {

    double lostShare() {
      return (double) lost / asked;
    }
  }

  SilentEndpointsReplay(long seed) {
    this.random = new Random(seed);
    for (int i = 0; i < ENDPOINTS; i++) {
      fixture.endpoint("e" + i, dataCentre(i), SLOTS);
    }
    while (silent.size() < SILENT) {
      silent.add("e" + random.nextInt(ENDPOINTS));
    }
  }

  Result run() {
    double at = 0;
    while (at < RUN_MILLIS - DEADLINE_MILLIS - 1_000) {
      double factor = at % 6_000 < 3_600 ? 0.39 : 1.91;
      at += -Math.log(1 - random.nextDouble()) * 1_000 / (REQUESTS_PER_SECOND * factor);
      time.at((int) at, () -> arrive(dataCentre(random.nextInt(DATA_CENTRES))));
    }
    time.every(TICK_MILLIS, RUN_MILLIS, () -> take(fixture.tick()));
    time.every(RENEW_MILLIS, RUN_MILLIS, fixture::renew);
    time.runUntil(RUN_MILLIS, millis -> fixture.now = start.plusMillis(millis));
    return new Result(asked, served, lost);
  }

  private static String dataCentre(int number) {
    return String.valueOf((char) ('a' + number % DATA_CENTRES));
  }

  private void arrive(String dataCentre) {
    asked++;
    ask(dataCentre);
  }

  private void ask(String dataCentre) {
    SlotRequest request = fixture.online(dataCentre);
    waiting.put(request.key(), request);
    take(fixture.ask(request));
  }

  private void take(List<SlotAnswer> answers) {
    for (SlotAnswer answer : answers) {
      if (answer instanceof SlotAnswer.Granted granted) {
        use(waiting.remove(granted.key()), granted.endpoint());
      } else if (answer instanceof SlotAnswer.Refused) {
        waiting.remove(answer.key());
      }
    }
  }

  private void use(SlotRequest request, String endpoint) {
    fixture.began(request, endpoint);
    boolean hangs =
        silent.contains(endpoint) && time.now() >= SILENT_FROM && time.now() < SILENT_UNTIL;
    if (!hangs) {
      int length = USE_MILLIS / 2 + random.nextInt(USE_MILLIS);
      time.at(time.now() + length, () -> end(request, SlotOutcome.ANSWERED));
      return;
    }
    int begun = time.now();
    suspectAt(begun + SUSPICIOUS_MILLIS, request);
    if (random.nextDouble() < MOVABLE) {
      time.at(begun + STALLED_MILLIS, () -> move(request));
      return;
    }
    for (int at = STALLED_MILLIS; at < DEADLINE_MILLIS; at += STALLED_MILLIS) {
      suspectAt(begun + at, request);
    }
    time.at(begun + DEADLINE_MILLIS, () -> end(request, SlotOutcome.FAILED));
  }

  private void suspectAt(int millis, SlotRequest request) {
    time.at(millis, () -> fixture.coordinator.suspect(request.key(), fixture.now));
  }

  private void move(SlotRequest request) {
    fixture.ended(request.key());
    take(fixture.release(request, SlotOutcome.FAILED));
    ask(request.dataCentre());
  }

  private void end(SlotRequest request, SlotOutcome outcome) {
    served += outcome == SlotOutcome.ANSWERED ? 1 : 0;
    lost += outcome == SlotOutcome.FAILED ? 1 : 0;
    fixture.ended(request.key());
    take(fixture.release(request, outcome));
  }
}
