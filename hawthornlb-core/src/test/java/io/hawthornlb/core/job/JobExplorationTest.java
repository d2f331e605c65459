package io.hawthornlb.core.job;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.hawthornlb.core.log.LogRecord;
import io.hawthornlb.core.model.JobId;
import io.hawthornlb.core.model.RequestId;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;

/** Runs jobs under random failures, single and combined, reproducible by seed. */
class JobExplorationTest {

  private static final int SEEDS = Integer.getInteger("hawthornlb.exploration.seeds", 40);
  private static final int ITEMS = 150;

  // Guards against lost jobs, items with no result or with two results, and cancelled jobs that
  // keep running. Such failures can follow from any order of process kills, pauses, log outages,
  // network cuts, lost answers and abandoned appends.
  @Test
  void keepsInvariantsUnderRandomFailures() {
    int ended = 0;
    for (int seed = 0; seed < SEEDS; seed++) {
      ended += new Exploration(seed).run();
    }
    assertTrue(ended >= SEEDS, "ended " + ended);
  }

  private static final class Exploration {

    private final JobScenario scenario;
    private final Random random;
    private final int seed;
    private final List<JobHeader> uploads = new ArrayList<>();
    private final Map<RequestId, JobHeader> submissions = new LinkedHashMap<>();
    private final Map<RequestId, JobHeader> cancels = new LinkedHashMap<>();

    private Exploration(int seed) {
      this.seed = seed;
      this.scenario = new JobScenario(seed);
      this.random = new Random(seed * 17L + 3);
    }

    private int run() {
      scenario.cluster().lostAnswers(0.1);
      scenario.hold(0);
      for (int i = 0; i < 3; i++) {
        uploads.add(scenario.upload("key-" + i, ITEMS, "content", i == 0));
      }
      scenario.cluster().run(Duration.ofMillis(500));
      scenario.cluster().givenUpAppends(0.05);
      scenario.dispatcherWidth(4);
      for (int step = 0; step < 60; step++) {
        act();
        scenario.cluster().run(Duration.ofMillis(random.nextInt(200)));
      }
      settle();
      return check();
    }

    private void act() {
      JobHeader job = uploads.get(random.nextInt(uploads.size()));
      int node = random.nextInt(4);
      switch (random.nextInt(16)) {
        case 0, 1, 2, 3 -> submissions.put(scenario.submit(job), job);
        case 4 -> cancels.put(scenario.cancel(job.id()), job);
        case 5 -> scenario.node(node).pause();
        case 6, 7 -> scenario.node(node).resume();
        case 8 -> scenario.cluster().log().down(true);
        case 9, 10 -> scenario.cluster().healAll();
        case 11 -> scenario.cluster().cut(scenario.node(node), scenario.node((node + 1) % 4));
        case 12 -> scenario.cluster().cutFromLog(scenario.node(node));
        case 13 -> takeOver(node);
        case 14 -> scenario.killAtMostOne(random.nextInt(3));
        default -> scenario.cluster().run(Duration.ofMillis(500));
      }
    }

    private void takeOver(int node) {
      if (scenario.cluster().reachesLog(scenario.node(node).id())) {
        scenario.cluster().claim(scenario.node(node), List.of());
      }
    }

    private void settle() {
      scenario.cluster().healAll();
      scenario.cluster().givenUpAppends(0);
      IntStream.range(0, 4).forEach(i -> scenario.node(i).resume());
      scenario.cluster().run(Duration.ofSeconds(1));
      scenario.hold(3);
      scenario.cluster().run(Duration.ofSeconds(1));
      uploads.forEach(job -> submissions.put(scenario.submit(job), job));
      scenario.cluster().run(Duration.ofSeconds(40));
    }

    private int check() {
      List<LogRecord> records = scenario.cluster().log().readFrom(0);
      NaiveJobs naive = NaiveJobs.replay(records);
      int ended = 0;
      for (JobHeader job : uploads) {
        JobStatus status = scenario.status(job.id());
        assertEquals(naive.phase(job.id()), status.phase(), "seed " + seed);
        assertTrue(status.phase() != JobPhase.RUNNING, "seed " + seed + " " + status);
        checkResults(job, status, naive.outcomes(job.id()));
        ended += status.phase() == JobPhase.ENDED ? 1 : 0;
      }
      checkAnswers();
      return ended;
    }

    private void checkResults(JobHeader job, JobStatus status, Map<Integer, ItemOutcome> expected) {
      Map<Integer, ItemOutcome> results = new HashMap<>();
      for (ItemOutcome end : scenario.results(scenario.jobFold(), job.id())) {
        assertTrue(results.put(end.index(), end) == null, "two results of one item, seed " + seed);
        boolean own = end.result().equals("result " + end.index());
        assertTrue(own || end.status() == ItemStatus.FAILED, "seed " + seed + " " + end);
      }
      assertEquals(expected, results, "seed " + seed);
      boolean whole = status.completed() + status.failed() == ITEMS;
      assertTrue(whole || status.phase() == JobPhase.CANCELLED, "seed " + seed);
      if (job.atMostOnce()) {
        for (int index = 0; index < ITEMS; index++) {
          int executions = scenario.executions(new ItemKey(job.id(), index));
          assertTrue(executions <= 1, "item " + index + " ran twice, seed " + seed);
        }
      }
    }

    private void checkAnswers() {
      cancels.forEach(
          (request, job) -> {
            if (kind(request) == JobAnswerKind.CANCELLED) {
              JobId id = job.id();
              assertEquals(JobPhase.CANCELLED, scenario.status(id).phase(), "seed " + seed);
            }
          });
      boolean accepted =
          submissions.keySet().stream()
              .skip(submissions.size() - uploads.size())
              .allMatch(request -> kind(request) == JobAnswerKind.ACCEPTED);
      assertTrue(accepted, "the last submissions must be accepted, seed " + seed);
    }

    private JobAnswerKind kind(RequestId request) {
      return scenario.answered(request) ? scenario.await(request).kind() : null;
    }
  }
}
