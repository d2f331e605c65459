package io.hawthornlb.gateway.slot.support;

import io.hawthornlb.core.model.WorkspaceId;
import io.hawthornlb.core.work.WorkSize;
import io.hawthornlb.gateway.slot.SchedulingSettings;
import io.hawthornlb.gateway.slot.SlotAnswer;
import io.hawthornlb.gateway.slot.SlotKey;
import io.hawthornlb.gateway.slot.SlotOutcome;
import io.hawthornlb.gateway.slot.SlotRequest;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;

/**
 * Simulates, in virtual time, load cycles of requests of unequal size: 3.6 s at 0.391 and 2.4 s at
 * 1.91 of the mean. The requests of a fifth of the workspaces are six times as long as those of the
 * others; four hints of five are nearly accurate, and the others are off by a factor of up to 8.
 */
final class WorkReplay {

  private static final int ENDPOINTS = 8;
  private static final int SLOTS = 8;
  private static final int RUN_MILLIS = 120_000;
  private static final double REQUESTS_PER_SECOND = 64;
  private static final int WORKSPACES = 20;
  private static final int PROMPT_TOKENS = 450;
  private static final int MAX_OUTPUT_TOKENS = 4_000;
  private static final double TOKEN_MILLIS = 2;
  private static final Duration MAX_WAIT = Duration.ofMillis(150);

  private final Random random;
  private final boolean hotWorkspace;
  private final CoordinatorFixture fixture;
  private final Instant start;
  private final VirtualTime time = new VirtualTime();
  private final Map<SlotKey, Caller> callers = new HashMap<>();
  private final List<Integer> releases = new ArrayList<>();
  private final List<Caller> refused = new ArrayList<>();
  private int asked;
  private int inTime;
  private int late;

  private record Caller(SlotRequest request, int arrived, int useMillis, int releasesNeeded) {}

  /**
   * Result of a simulation.
   *
   * @param asked number of requests
   * @param inTime requests that got a slot within the maximum wait
   * @param late requests that were refused after they had waited in vain
   * @param needless requests that were refused at once, although enough slots became free within
   *     the maximum wait to serve those before them and them
   */
  record Result(int asked, int inTime, int late, int needless) {}

  /**
   * Creates a simulation.
   *
   * @param contended whether requests are scheduled by their work
   * @param hotWorkspace whether one workspace sends more than its usual for 6.5 s of every 24 s
   */
  WorkReplay(long seed, boolean contended, boolean hotWorkspace) {
    this.hotWorkspace = hotWorkspace;
    random = new Random(seed);
    fixture =
        new CoordinatorFixture(
            SlotSettings.builder().scheduling(new SchedulingSettings(contended)).build());
    start = fixture.now;
    for (int i = 0; i < ENDPOINTS; i++) {
      fixture.endpoint("e" + i, "a", SLOTS);
    }
  }

  Result run() {
    double at = 0;
    while (at < RUN_MILLIS) {
      double factor = at % 6_000 < 3_600 ? 0.391 : 1.91;
      at += -Math.log(1 - random.nextDouble()) * 1_000 / (REQUESTS_PER_SECOND * factor);
      schedule((int) at);
    }
    time.every(20, RUN_MILLIS + 5_000, () -> take(fixture.tick()));
    time.runUntil(RUN_MILLIS + 5_000, millis -> fixture.now = start.plusMillis(millis));
    int needless = (int) refused.stream().filter(this::wouldHaveBeenInTime).count();
    return new Result(asked, inTime, late, needless);
  }

  private void schedule(int arrival) {
    boolean hot = hotWorkspace && arrival % 24_000 >= 17_000 && arrival % 24_000 < 23_500;
    // One of the workspaces with long requests then sends 5.6 times its usual share.
    int workspace = hot && random.nextInt(100) < 24 ? 0 : random.nextInt(WORKSPACES);
    double usual = workspace < WORKSPACES / 5 ? 750 : 125;
    double output = usual * Math.exp(0.5 * random.nextGaussian());
    double error = random.nextInt(5) == 0 ? Math.log(8) : 0.2;
    double hint = output * Math.exp(error * random.nextGaussian());
    int use = (int) Math.max(5, 60 + TOKEN_MILLIS * output);
    WorkSize size = new WorkSize(PROMPT_TOKENS, MAX_OUTPUT_TOKENS, (int) hint);
    time.at(arrival, () -> ask(new WorkspaceId("w" + workspace), size, use));
  }

  private void ask(WorkspaceId workspace, WorkSize size, int use) {
    asked++;
    SlotRequest request =
        SlotRequest.builder(fixture.online("a").key(), CoordinatorFixture.SERVICE)
            .dataCentre("a")
            .maxWait(MAX_WAIT)
            .workspace(workspace)
            .size(size)
            .build();
    int needed = releases.size() + callers.size() + 1;
    callers.put(request.key(), new Caller(request, time.now(), use, needed));
    take(fixture.ask(request));
  }

  private void take(List<SlotAnswer> answers) {
    for (SlotAnswer answer : answers) {
      if (answer instanceof SlotAnswer.Granted) {
        Caller caller = callers.remove(answer.key());
        inTime++;
        time.at(time.now() + caller.useMillis(), () -> release(caller.request()));
      } else if (answer instanceof SlotAnswer.Refused) {
        Caller caller = callers.remove(answer.key());
        if (caller.arrived() == time.now()) {
          refused.add(caller);
        } else {
          late++;
        }
      }
    }
  }

  private void release(SlotRequest request) {
    releases.add(time.now());
    take(fixture.release(request, SlotOutcome.ANSWERED));
  }

  private boolean wouldHaveBeenInTime(Caller caller) {
    int index = caller.releasesNeeded() - 1;
    return index < releases.size() && releases.get(index) <= caller.arrived() + MAX_WAIT.toMillis();
  }
}
