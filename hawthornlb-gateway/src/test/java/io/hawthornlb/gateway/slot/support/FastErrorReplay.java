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
 * Waves of requests from six data centres at 47 endpoints, some of which answer with errors at
 * once, in virtual time.
 */
final class FastErrorReplay {

  private static final int DATA_CENTRES = 6;
  private static final int ENDPOINTS = 47;
  private static final int SLOTS = 7;
  private static final int FAILING = 5;
  private static final int RUN_MILLIS = 18_000;
  private static final double REQUESTS_PER_SECOND = 242;
  private static final int USE_MILLIS = 720;
  private static final int ERROR_MILLIS = 2;
  private static final int TICK_MILLIS = 20;
  private static final int RENEW_MILLIS = 1_000;

  private final Random random;
  private final double failingShare;
  private final double chanceShare;
  private final CoordinatorFixture fixture;
  private final Instant start;
  private final VirtualTime time = new VirtualTime();
  private final Set<String> failing = new HashSet<>();
  private final Map<SlotKey, SlotRequest> waiting = new HashMap<>();
  private int asked;
  private int errors;
  private int served;

  /** What became of the requests; the rest was refused. */
  record Result(int asked, int served, int errors) {

    double errorShare() {
      return (double) errors / asked;
    }

    double servedShare() {
      return (double) served / asked;
    }
  }

  /**
   * Creates a replay.
   *
   * @param failingShare share of requests that failing endpoints answer with an error
   * @param chanceShare share of requests that each endpoint answers with an error
   */
  FastErrorReplay(long seed, SlotSettings settings, double failingShare, double chanceShare) {
    this.random = new Random(seed);
    this.fixture = new CoordinatorFixture(settings);
    this.start = fixture.now;
    this.failingShare = failingShare;
    this.chanceShare = chanceShare;
    for (int i = 0; i < ENDPOINTS; i++) {
      fixture.endpoint("e" + i, dataCentre(i), SLOTS);
    }
    while (failing.size() < FAILING) {
      failing.add("e" + random.nextInt(ENDPOINTS));
    }
  }

  Result run() {
    double at = 0;
    while (at < RUN_MILLIS - 1_000) {
      double factor = at % 6_000 < 3_600 ? 0.39 : 1.91;
      at += -Math.log(1 - random.nextDouble()) * 1_000 / (REQUESTS_PER_SECOND * factor);
      time.at((int) at, () -> arrive(dataCentre(random.nextInt(DATA_CENTRES))));
    }
    time.every(TICK_MILLIS, RUN_MILLIS, () -> take(fixture.tick()));
    time.every(RENEW_MILLIS, RUN_MILLIS, fixture::renew);
    time.runUntil(RUN_MILLIS, millis -> fixture.now = start.plusMillis(millis));
    return new Result(asked, served, errors);
  }

  private static String dataCentre(int number) {
    return String.valueOf((char) ('a' + number % DATA_CENTRES));
  }

  private void arrive(String dataCentre) {
    asked++;
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
    boolean fails = random.nextDouble() < (failsNow(endpoint) ? failingShare : chanceShare);
    int length = fails ? ERROR_MILLIS : USE_MILLIS / 2 + random.nextInt(USE_MILLIS);
    time.at(time.now() + length, () -> end(request, fails));
  }

  private void end(SlotRequest request, boolean fails) {
    errors += fails ? 1 : 0;
    served += fails ? 0 : 1;
    fixture.ended(request.key());
    take(fixture.release(request, fails ? SlotOutcome.ERROR : SlotOutcome.ANSWERED));
  }

  /** They fail for two seconds of each six, over the second half of a crest and its end. */
  private boolean failsNow(String endpoint) {
    int inWave = time.now() % 6_000;
    return failing.contains(endpoint) && inWave >= 4_000;
  }
}
