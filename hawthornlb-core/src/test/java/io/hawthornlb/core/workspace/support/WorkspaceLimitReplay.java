package io.hawthornlb.core.workspace.support;

import io.hawthornlb.core.model.WorkspaceId;
import io.hawthornlb.core.workspace.WorkspaceLimit;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;
import java.util.Random;
import java.util.function.BiFunction;

/**
 * Replays 24 s of 87 workspaces at 90 instances in four data centres: one workspace sends 4.3 times
 * its usual, the others stay below their limits.
 */
final class WorkspaceLimitReplay {

  static final Duration WINDOW = Duration.ofSeconds(5);
  private static final double WINDOW_FACTOR = 1.1;
  private static final int WINDOW_SLACK = 20;

  private static final int INSTANCES = 90;
  private static final int SMALL_WORKSPACES = 86;
  private static final double HOT_USUAL = 84;
  private static final double HOT_FACTOR = 4.3;
  private static final Duration STEP = Duration.ofMillis(10);
  private static final int STEPS = 2_400;
  private static final int HOT_FROM_STEP = 500;
  private static final int HOT_UNTIL_STEP = 1_800;
  private static final int EVENT_STEP = 900;
  private static final int HEAL_STEP = 1_500;
  private static final Instant START = Instant.parse("2026-01-01T00:00:00Z");
  private static final WorkspaceId HOT = new WorkspaceId("hot");

  /** What happens while the hot workspace sends most. */
  enum Event {
    NONE,
    CUT,
    ALL_KILLED,
    DECIDER_LOST,
    LIMIT_LOWERED
  }

  /**
   * Result of a replay.
   *
   * @param beyond most requests in a window beyond those that the limit allows; negative if there
   *     were fewer in every window
   * @param refusedSmall requests of the workspaces below their limits that were refused
   * @param sentSmall requests of these workspaces
   * @param refusedHot requests of the hot workspace that were refused although the limit allowed
   *     them, net of those that ran beyond it
   * @param datagramsPerSecond datagrams a second
   */
  record Result(
      double beyond, int refusedSmall, int sentSmall, int refusedHot, double datagramsPerSecond) {}

  private final Random random;
  private final LimitedFleet fleet;
  private final Event event;
  private final int[] dataCentres;
  private final TokenLedger ideal = new TokenLedger(START.minusSeconds(60));
  private final Map<WorkspaceId, Deque<Instant>> ran = new HashMap<>();
  private WorkspaceLimit hotLimit = new WorkspaceLimit(135, 135);
  private Instant limitFrom = START;
  private double beyond = Double.NEGATIVE_INFINITY;
  private int refusedSmall;
  private int sentSmall;
  private int idealHot;
  private int ranHot;

  WorkspaceLimitReplay(BiFunction<int[], Instant, LimitedFleet> fleets, Event event, long seed) {
    this.random = new Random(seed);
    this.event = event;
    this.dataCentres = new int[INSTANCES];
    for (int i = 0; i < INSTANCES; i++) {
      dataCentres[i] = i % 4;
    }
    this.fleet = fleets.apply(dataCentres, START);
  }

  Result run() {
    for (int step = 0; step < STEPS; step++) {
      Instant now = START.plus(STEP.multipliedBy(step));
      happen(step, now);
      fleet.tick(now);
      boolean down = event == Event.ALL_KILLED && step >= EVENT_STEP && step < EVENT_STEP + 150;
      if (!down) {
        sendHot(step, now);
        sendSmall(now);
      }
    }
    double seconds = STEP.multipliedBy(STEPS).toMillis() / 1e3;
    return new Result(
        beyond, refusedSmall, sentSmall, idealHot - ranHot, fleet.datagrams() / seconds);
  }

  private void happen(int step, Instant now) {
    if (step == EVENT_STEP && event == Event.CUT) {
      fleet.cut(1);
    } else if (step == HEAL_STEP && event == Event.CUT) {
      fleet.cut(-1);
    } else if (step == EVENT_STEP + 150 && event == Event.ALL_KILLED) {
      fleet.restartAll(now);
    } else if (step == EVENT_STEP && event == Event.DECIDER_LOST) {
      fleet.restartDecider("engine", now);
    } else if (step == EVENT_STEP && event == Event.LIMIT_LOWERED) {
      hotLimit = new WorkspaceLimit(30, 30);
      limitFrom = now;
    }
  }

  private void sendHot(int step, Instant now) {
    boolean hot = step >= HOT_FROM_STEP && step < HOT_UNTIL_STEP;
    double rate = HOT_USUAL * (hot ? HOT_FACTOR : 1);
    for (int i = poisson(rate); i > 0; i--) {
      String service = random.nextDouble() < 0.8 ? "engine" : "lookup";
      idealHot += ideal.decide(HOT, hotLimit, now).allowed() ? 1 : 0;
      if (fleet.request(instance(), service, HOT, hotLimit, now)) {
        ranHot++;
        recordRun(HOT, hotLimit, now);
      }
    }
  }

  private void sendSmall(Instant now) {
    WorkspaceLimit limit = new WorkspaceLimit(6.4, 6.4);
    for (int i = poisson(4.0 * SMALL_WORKSPACES); i > 0; i--) {
      WorkspaceId id = new WorkspaceId("w" + random.nextInt(SMALL_WORKSPACES));
      if (!ideal.decide(id, limit, now).allowed()) {
        continue;
      }
      sentSmall++;
      if (fleet.request(instance(), "engine", id, limit, now)) {
        recordRun(id, limit, now);
      } else {
        refusedSmall++;
      }
    }
  }

  private void recordRun(WorkspaceId id, WorkspaceLimit limit, Instant now) {
    Deque<Instant> runs = ran.computeIfAbsent(id, any -> new ArrayDeque<>());
    runs.add(now);
    while (runs.peek().isBefore(now.minus(WINDOW))) {
      runs.poll();
    }
    double most =
        (limit.requestsPerSecond() * WINDOW.toSeconds() + limit.burst()) * WINDOW_FACTOR
            + WINDOW_SLACK;
    // A lower limit binds one window after it was set.
    if (!id.equals(HOT) || limitFrom.equals(START) || now.isAfter(limitFrom.plus(WINDOW))) {
      beyond = Math.max(beyond, runs.size() - most);
    }
  }

  /** Returns an instance; callers are spread unevenly. */
  private int instance() {
    double draw = random.nextDouble();
    return (int) (draw * Math.sqrt(draw) * INSTANCES);
  }

  private int poisson(double perSecond) {
    double limit = Math.exp(-perSecond * STEP.toMillis() / 1e3);
    int count = 0;
    for (double product = random.nextDouble(); product > limit; product *= random.nextDouble()) {
      count++;
    }
    return count;
  }
}
