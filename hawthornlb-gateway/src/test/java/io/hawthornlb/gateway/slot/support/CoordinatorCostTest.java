package io.hawthornlb.gateway.slot.support;

import static org.junit.jupiter.api.Assertions.assertTrue;

import io.hawthornlb.gateway.slot.SchedulingSettings;
import io.hawthornlb.gateway.slot.SlotAnswer;
import io.hawthornlb.gateway.slot.SlotOutcome;
import io.hawthornlb.gateway.slot.SlotRequest;
import java.lang.management.ManagementFactory;
import java.lang.management.ThreadMXBean;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;
import org.junit.jupiter.api.Test;

/**
 * Guards against a coordinator that needs longer for a decision than a slot takes to become free,
 * because it examines each endpoint for each waiting request. At the load peak of a large fleet
 * callers would then get late answers although slots are free. A small instance has 0.36 of a CPU
 * core.
 */
class CoordinatorCostTest {

  private static final int ENDPOINTS = 63;
  private static final int SLOTS = 7;
  private static final int WAITING = 300;
  private static final int ROUNDS = 3_000;

  /**
   * Decisions per second at a peak of 800 requests per second, each of which requests and releases
   * a slot.
   */
  private static final int DECISIONS_PER_SECOND = 1_600;

  private CoordinatorFixture fixture = new CoordinatorFixture();
  private final Map<Object, SlotRequest> asked = new HashMap<>();
  private final Deque<SlotRequest> running = new ArrayDeque<>();

  @Test
  void decidesAtPeakLoadWithASmallPartOfACore() {
    fill(ENDPOINTS, SLOTS, WAITING);
    replay();
    long began = System.nanoTime();
    replay();
    Duration each = Duration.ofNanos((System.nanoTime() - began) / (2 * ROUNDS));
    double share = each.toNanos() * 1e-9 * DECISIONS_PER_SECOND;
    String seen = each.toNanos() / 1_000 + " us per decision, " + share + " of a core";
    System.out.println("coordinator cost: " + seen);
    assertTrue(share < 0.5, seen);
  }

  /**
   * Guards against a forecast that is computed anew in each decision. The least processor time of
   * several runs counts, because other processes of a build machine slow a run down.
   */
  @Test
  void decidesWithinItsTimeWithTheForecast() {
    SchedulingSettings contended = new SchedulingSettings(true);
    fixture = new CoordinatorFixture(SlotSettings.builder().scheduling(contended).build());
    fill(62, 8, 600);
    ThreadMXBean threads = ManagementFactory.getThreadMXBean();
    long least = Long.MAX_VALUE;
    for (int run = 0; run < 10; run++) {
      long began = threads.getCurrentThreadCpuTime();
      replay();
      least = Math.min(least, (threads.getCurrentThreadCpuTime() - began) / (2 * ROUNDS));
    }
    System.out.println("coordinator cost with the forecast: " + least + " ns");
    assertTrue(least < 30_000, least + " ns");
  }

  private void fill(int endpoints, int slots, int waiting) {
    for (int i = 0; i < endpoints; i++) {
      fixture.endpoint("e" + i, "d" + i % 4, slots);
    }
    for (int i = 0; i < endpoints * slots + waiting; i++) {
      ask(i);
    }
  }

  /** Repeatedly ends the oldest use and requests a slot; other requests wait all the while. */
  private void replay() {
    for (int round = 0; round < ROUNDS; round++) {
      fixture.advance(Duration.ofNanos(1_000_000_000L / DECISIONS_PER_SECOND));
      take(fixture.release(running.poll(), SlotOutcome.ANSWERED));
      ask(round);
    }
  }

  private void ask(int number) {
    SlotRequest request =
        SlotRequest.builder(fixture.online("d" + number % 4).key(), CoordinatorFixture.SERVICE)
            .rank(number % 2)
            .dataCentre("d" + number % 4)
            .maxWait(Duration.ofSeconds(600))
            .build();
    asked.put(request.key(), request);
    take(fixture.ask(request));
  }

  private void take(Iterable<SlotAnswer> answers) {
    for (SlotAnswer answer : answers) {
      if (answer instanceof SlotAnswer.Granted) {
        running.add(asked.remove(answer.key()));
      }
    }
  }
}
