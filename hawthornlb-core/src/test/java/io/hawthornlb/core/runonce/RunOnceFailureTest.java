package io.hawthornlb.core.runonce;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.hawthornlb.core.harness.NodeParts.Variant;
import io.hawthornlb.core.model.RequestId;
import io.hawthornlb.core.model.RunStatus;
import java.time.Duration;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class RunOnceFailureTest {

  private static final RunOnceKey KEY = RunOnceScenario.key("waiter-7");

  private final RunOnceScenario scenario =
      new RunOnceScenario(1, RunOnceScenario.settings(), Variant.STANDARD);

  @Test
  void resendsGetTheSameResult() {
    scenario.settle(0);
    RequestId first = scenario.send(3, KEY, false);
    RequestId other = scenario.send(4, KEY, false);

    assertTrue(scenario.await(first).result().isPresent());
    assertEquals(scenario.answer(first), scenario.await(other));
    scenario.cluster().run(Duration.ofSeconds(2));
    RequestId late = scenario.send(2, KEY, false);

    assertEquals(scenario.answer(first), scenario.await(late));
    assertEquals(1, scenario.executions(KEY));
  }

  // A waiter is checked in once, and a second time when the app sends again after the answer was
  // lost: the holder died after the venue's service had run the check-in, and its successor knew
  // nothing of it. The kill comes after each number of milliseconds, so at each step in turn.
  @ParameterizedTest
  @ValueSource(ints = {0, 1, 2, 3, 4, 5, 6, 7, 8, 10, 12, 14, 16, 18, 20, 25, 30, 40, 60})
  void runsAtMostOnceWhenTheHolderDies(int afterMillis) {
    scenario.settle(0);
    scenario.cluster().endpoint().duration(Duration.ofMillis(20));
    RequestId first = scenario.send(3, KEY, false);
    scenario.cluster().run(Duration.ofMillis(afterMillis));
    scenario.node(0).kill();
    scenario.settle(1);
    RequestId second = scenario.send(4, KEY, false);
    RunOnceAnswer answer = scenario.await(second);
    scenario.await(first);

    assertTrue(scenario.executions(KEY) <= 1);
    assertTrue(
        answer.result().isPresent() || scenario.awaitStop(second) == StopPoint.OUTCOME_UNKNOWN);
    scenario.cluster().run(Duration.ofSeconds(1));
    assertTrue(scenario.executions(KEY) <= 1);
  }

  @Test
  void withoutDurableIntentsADyingHolderMakesItRunTwice() {
    RunOnceScenario naive =
        new RunOnceScenario(1, RunOnceScenario.settings(), Variant.WITHOUT_INTENTS);
    naive.claim(0);
    naive.cluster().run(Duration.ofSeconds(1));
    naive.send(3, KEY, false);
    naive.cluster().run(Duration.ofMillis(8));
    naive.node(0).kill();
    naive.claim(1);
    naive.cluster().run(Duration.ofSeconds(1));
    naive.send(4, KEY, false);
    naive.cluster().run(Duration.ofSeconds(1));

    assertEquals(2, naive.executions(KEY));
  }

  // A waiter is checked in twice although nobody died: the holder stood still in the middle of the
  // request, another took over and ran the resend, and then the first one woke up and went on.
  @ParameterizedTest
  @ValueSource(ints = {0, 1, 2, 3, 4, 5, 6, 8, 10, 12, 15, 20})
  void runsAtMostOnceWhenAPausedHolderWakesUp(int afterMillis) {
    scenario.settle(0);
    RequestId first = scenario.send(0, KEY, false);
    scenario.cluster().run(Duration.ofMillis(afterMillis));
    scenario.node(0).pause();
    scenario.settle(1);
    RequestId second = scenario.send(4, KEY, false);
    scenario.cluster().run(Duration.ofMillis(500));
    scenario.node(0).resume();
    scenario.await(second);
    scenario.await(first);
    scenario.cluster().run(Duration.ofSeconds(2));

    assertTrue(scenario.executions(KEY) <= 1);
  }

  // A data centre that is cut off from the platform, but not from its peers, checks a waiter in
  // once
  // more: its entry still takes the old holder for the current one, and the witnesses of the old
  // epoch still answer.
  @Test
  void holderThatIsCutOffFromTheLogIsFencedByItsWitnesses() {
    assertEquals(1, executionsWithAHolderCutOff(Variant.STANDARD));
    assertEquals(2, executionsWithAHolderCutOff(Variant.WITHOUT_FENCE));
  }

  private static int executionsWithAHolderCutOff(Variant variant) {
    RunOnceScenario cut = new RunOnceScenario(1, RunOnceScenario.settings(), variant);
    cut.settle(0);
    cut.cluster().cutFromLog(cut.node(0));
    cut.claim(3, 4);
    cut.cluster().run(Duration.ofSeconds(1));
    assertTrue(cut.await(cut.send(4, KEY, false)).result().isPresent());
    cut.await(cut.send(0, KEY, false));
    return cut.executions(KEY);
  }

  // The successor of a paused holder says that a check-in may have run, and the app never learns
  // that it did: the outcome came when the holder had lost its claim, and its record was void.
  @Test
  void outcomeOfASupersededHolderReachesItsSuccessor() {
    scenario.settle(0);
    scenario.cluster().endpoint().duration(Duration.ofSeconds(3));
    scenario.send(0, KEY, false);
    scenario.cluster().run(Duration.ofMillis(100));
    scenario.settle(3);
    RequestId early = scenario.send(4, KEY, false);
    assertEquals(StopPoint.OUTCOME_UNKNOWN, scenario.awaitStop(early));
    scenario.cluster().run(Duration.ofSeconds(4));
    RequestId later = scenario.send(4, KEY, false);

    assertTrue(scenario.await(later).result().isPresent());
    assertEquals(1, scenario.executions(KEY));
  }

  // Waiters stand outside while the platform is down for a minute, because the check-in app can't
  // store its intents there. The witnesses hold them instead.
  @Test
  void checkInsGoOnWhileTheLogIsDown() {
    scenario.settle(0);
    scenario.cluster().log().down(true);
    for (int i = 0; i < 60; i++) {
      RequestId id = scenario.send(i % 5, RunOnceScenario.key("outage-" + i), false);
      assertTrue(scenario.await(id).result().isPresent());
      scenario.cluster().run(Duration.ofSeconds(1));
    }
    scenario.cluster().healAll();
    scenario.cluster().run(Duration.ofSeconds(2));

    assertEquals(60, scenario.node(3).runOnceFold().size());
    assertEquals(0, scenario.node(1).table().size());
  }

  // A check-in runs twice after an outage: the holder died in it, with the intent at its witnesses
  // only, and the successor took the log for the whole truth.
  @Test
  void successorLearnsFromAWitnessWhatTheLogDoesNotHold() {
    scenario.settle(0);
    scenario.cluster().log().down(true);
    assertTrue(scenario.await(scenario.send(3, KEY, false)).result().isPresent());
    scenario.node(0).kill();
    scenario.node(1).kill();
    scenario.cluster().healAll();
    scenario.settle(4);
    RequestId again = scenario.send(3, KEY, false);

    assertTrue(scenario.await(again).result().isPresent());
    assertEquals(1, scenario.executions(KEY));
  }

  // Waiters stand outside again although the platform's outage alone does no harm: one of the
  // instances that keep intents died in it. With three witnesses one may be silent, and a successor
  // still learns everything from any two.
  @Test
  void checkInsGoOnWhenAWitnessIsLostInAnOutage() {
    scenario.claim(0, 1, 2, 3);
    scenario.cluster().run(Duration.ofSeconds(1));
    scenario.cluster().log().down(true);
    scenario.node(1).kill();
    assertTrue(scenario.await(scenario.send(4, KEY, false)).result().isPresent());
    scenario.node(0).kill();
    scenario.cluster().healAll();
    scenario.claim(4, 2, 3);
    scenario.cluster().run(Duration.ofSeconds(1));

    assertTrue(scenario.await(scenario.send(2, KEY, false)).result().isPresent());
    assertEquals(1, scenario.executions(KEY));
  }

  // A successor that finds one member only can't know whether it was the silent one.
  @Test
  void oneMemberOfFourIsNotEnoughToRecover() {
    scenario.claim(0, 1, 2, 3);
    scenario.cluster().run(Duration.ofSeconds(1));
    scenario.cluster().cut(scenario.node(0), scenario.node(3));
    scenario.cluster().log().down(true);
    assertTrue(scenario.await(scenario.send(0, KEY, false)).result().isPresent());
    for (int member = 0; member < 3; member++) {
      scenario.node(member).kill();
    }
    scenario.cluster().healAll();
    scenario.claim(4, 3);
    scenario.cluster().run(Duration.ofSeconds(5));
    scenario.await(scenario.send(4, KEY, false));

    assertEquals(1, scenario.executions(KEY));
  }

  // All three that knew of a check-in died before the log did. Whoever runs it again may check the
  // waiter in twice; so it is refused as "may have run", while new keys of entries go on.
  @Test
  void keysAreNotRunWhenAllWitnessesAreLost() {
    scenario.settle(0);
    scenario.cluster().log().down(true);
    assertTrue(scenario.await(scenario.send(3, KEY, false)).result().isPresent());
    scenario.node(0).kill();
    scenario.node(1).kill();
    scenario.node(2).kill();
    scenario.cluster().healAll();
    scenario.claim(3, 4);
    scenario.cluster().run(Duration.ofSeconds(5));
    RequestId again = scenario.send(4, KEY, false);

    assertEquals(StopPoint.WITNESSES_LOST, scenario.awaitStop(again));
    assertEquals(RunStatus.MAY_HAVE_RUN, RunOnceScenario.status(scenario.answer(again)));
    RequestId fresh = scenario.send(4, RunOnceScenario.key("generated-1"), true);
    assertTrue(scenario.await(fresh).result().isPresent());
    assertEquals(1, scenario.executions(KEY));
  }

  // A data centre with the holder and its witnesses is cut off and goes on; the others take over
  // and, once the cut heals, learn what was run there, and serve all keys again.
  @Test
  void unresolvedEpochIsCollectedOnceItsWitnessesComeBack() {
    scenario.settle(0);
    for (int inside = 0; inside < 3; inside++) {
      scenario.cluster().cutFromLog(scenario.node(inside));
      for (int outside = 3; outside < 5; outside++) {
        scenario.cluster().cut(scenario.node(inside), scenario.node(outside));
      }
    }
    assertTrue(scenario.await(scenario.send(2, KEY, false)).result().isPresent());
    scenario.claim(3, 4);
    scenario.cluster().run(Duration.ofSeconds(5));
    RequestId outside = scenario.send(4, KEY, false);
    assertEquals(StopPoint.WITNESSES_LOST, scenario.awaitStop(outside));

    scenario.cluster().healAll();
    scenario.cluster().run(Duration.ofSeconds(10));

    assertTrue(scenario.await(scenario.send(4, KEY, false)).result().isPresent());
    RequestId other = scenario.send(4, RunOnceScenario.key("new"), false);
    assertTrue(scenario.await(other).result().isPresent());
    assertEquals(1, scenario.executions(KEY));
  }

  // A holder that hands over at a graceful stop leaves nothing to its witnesses, so its successor
  // need not find any of them.
  @Test
  void drainedHolderReleasesItsWitnesses() {
    scenario.settle(0);
    assertTrue(scenario.await(scenario.send(3, KEY, false)).result().isPresent());
    scenario.node(0).runOnce(new Drain());
    assertTrue(
        scenario
            .cluster()
            .runUntil(() -> scenario.node(0).coordinator().drained(), Duration.ofSeconds(5)));
    scenario.node(0).kill();
    scenario.node(1).kill();
    scenario.node(2).kill();
    scenario.claim(3, 4);
    scenario.cluster().run(Duration.ofMillis(200));

    assertTrue(scenario.await(scenario.send(4, KEY, false)).result().isPresent());
    RequestId other = scenario.send(4, RunOnceScenario.key("new"), false);
    assertTrue(scenario.await(other).result().isPresent());
    assertEquals(1, scenario.executions(KEY));
  }
}
