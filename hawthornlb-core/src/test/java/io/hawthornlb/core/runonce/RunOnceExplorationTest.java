package io.hawthornlb.core.runonce;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.hawthornlb.core.harness.NodeParts.Variant;
import io.hawthornlb.core.model.RequestId;
import io.hawthornlb.core.model.RunStatus;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/** Runs random failures, single and combined, each sequence from a seed. */
class RunOnceExplorationTest {

  private static final int SEEDS = Integer.getInteger("hawthornlb.exploration.seeds", 150);
  private static final int CALLERS = 12;

  // Guards against an order of kills, pauses, log outages, lost replies and network partitions in
  // which a request runs twice, or is reported as not run although it ran.
  @Test
  void runsAtMostOnceUnderAnyFailures() {
    int completed = 0;
    for (int seed = 0; seed < SEEDS; seed++) {
      Outcome outcome = explore(seed, Variant.STANDARD);
      assertEquals(List.of(), outcome.executedTwice(), "seed " + seed);
      assertEquals(List.of(), outcome.falseNotRun(), "seed " + seed);
      completed += outcome.completed();
    }
    assertTrue(
        completed > SEEDS * CALLERS / 4,
        "more than a quarter of the requests must complete, " + completed);
  }

  // Repeats the failures with one safeguard removed at a time. Some seed must then show a duplicate
  // execution; otherwise the test above proves nothing.
  @ParameterizedTest
  @EnumSource(
      value = Variant.class,
      names = {"WITHOUT_INTENTS", "WITHOUT_FENCE"})
  void eachSafeguardIsNeeded(Variant variant) {
    boolean duplicated =
        IntStream.range(0, SEEDS)
            .mapToObj(seed -> explore(seed, variant))
            .anyMatch(outcome -> !outcome.executedTwice().isEmpty());

    assertTrue(duplicated, "no seed shows a duplicate execution with " + variant);
  }

  private static Outcome explore(int seed, Variant variant) {
    RunOnceScenario scenario = new RunOnceScenario(seed, RunOnceScenario.settings(), variant);
    Random random = new Random(seed * 31L + 5);
    scenario.cluster().endpoint().failures(0.05);
    scenario.cluster().endpoint().refusals(0.05);
    scenario.cluster().lostAnswers(0.1);
    scenario.cluster().givenUpAppends(0.05);
    scenario.claim(0);
    scenario.cluster().run(Duration.ofMillis(300));
    List<Caller> callers = new ArrayList<>();
    for (int i = 0; i < CALLERS; i++) {
      callers.add(new Caller(scenario, RunOnceScenario.key("key-" + i), random));
    }
    for (int step = 0; step < 120; step++) {
      callers.get(random.nextInt(CALLERS)).step();
      if (random.nextInt(6) == 0) {
        fail(scenario, random);
      }
      scenario.cluster().run(Duration.ofMillis(random.nextInt(120)));
    }
    scenario.cluster().healAll();
    IntStream.range(0, 5).forEach(i -> scenario.node(i).resume());
    scenario.cluster().run(Duration.ofSeconds(20));
    return Outcome.of(scenario, callers);
  }

  private static void fail(RunOnceScenario scenario, Random random) {
    int node = random.nextInt(5);
    switch (random.nextInt(10)) {
      case 0, 1 -> scenario.node(node).pause();
      case 2, 3 -> scenario.node(node).resume();
      case 4 -> scenario.cluster().log().down(true);
      case 5 -> scenario.cluster().healAll();
      case 6 -> scenario.cluster().cut(scenario.node(node), scenario.node((node + 1) % 5));
      case 7 -> killAtMostOne(scenario, node);
      case 8 -> scenario.cluster().cutFromLog(scenario.node(node));
      default -> takeOver(scenario, node, random);
    }
  }

  private static void killAtMostOne(RunOnceScenario scenario, int node) {
    if (IntStream.range(0, 5).allMatch(i -> scenario.node(i).alive())) {
      scenario.node(node).kill();
    }
  }

  private static void takeOver(RunOnceScenario scenario, int node, Random random) {
    if (scenario.cluster().reachesLog(scenario.node(node).id())) {
      if (random.nextBoolean()) {
        scenario.claim(node);
      } else {
        scenario.claimWithThreeReplicas(node);
      }
    }
  }

  /**
   * Sends a key through a random entry instance, and resends it until the caller gives up after
   * "not run".
   */
  private static final class Caller {

    private final RunOnceScenario scenario;
    private final RunOnceKey key;
    private final Random random;
    private RequestId pending;
    private boolean overlapping;
    private boolean gaveUpNotRun;

    private Caller(RunOnceScenario scenario, RunOnceKey key, Random random) {
      this.scenario = scenario;
      this.key = key;
      this.random = random;
    }

    private void step() {
      if (gaveUpNotRun) {
        return;
      }
      if (pending != null && scenario.answer(pending) == null) {
        overlapping |= random.nextInt(4) == 0;
        if (!overlapping) {
          return;
        }
      }
      settle();
      if (!gaveUpNotRun) {
        pending = scenario.send(random.nextInt(5), key, false);
      }
    }

    private void settle() {
      RunOnceAnswer answer = pending == null ? null : scenario.answer(pending);
      boolean notRun =
          answer != null
              && answer.refusal().isPresent()
              && RunOnceScenario.status(answer) == RunStatus.NOT_RUN;
      gaveUpNotRun = notRun && !overlapping && random.nextBoolean();
    }

    private boolean gotWrongNotRun() {
      return scenario.wrongNotRunKeys().contains(key)
          || gaveUpNotRun && scenario.executions(key) > 0;
    }
  }

  private record Outcome(
      List<RunOnceKey> executedTwice, List<RunOnceKey> falseNotRun, int completed) {

    private static Outcome of(RunOnceScenario scenario, List<Caller> callers) {
      List<RunOnceKey> executedTwice =
          callers.stream()
              .map(caller -> caller.key)
              .filter(key -> scenario.executions(key) > 1)
              .toList();
      List<RunOnceKey> wrongNotRun =
          callers.stream().filter(Caller::gotWrongNotRun).map(caller -> caller.key).toList();
      long once = callers.stream().filter(caller -> scenario.executions(caller.key) == 1).count();
      return new Outcome(executedTwice, wrongNotRun, (int) once);
    }
  }
}
