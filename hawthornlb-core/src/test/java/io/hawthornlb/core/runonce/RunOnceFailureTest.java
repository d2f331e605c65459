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

  // Guards against a second execution when the holder dies after the service ran the request and
  // the caller resends it to the successor. The kill comes after each of these numbers of
  // milliseconds, and so at each step in turn.
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
  void runsTwiceWithoutDurableIntentsWhenTheHolderDies() {
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

  // Guards against a second execution when a holder pauses in the middle of a request, another
  // instance takes over and runs the resend, and the paused holder resumes and continues.
  @ParameterizedTest
  @ValueSource(ints = {0, 1, 2, 3, 4, 5, 6, 8, 10, 12, 15, 20})
  void runsAtMostOnceWhenAPausedHolderResumes(int afterMillis) {
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

  // Guards against a second execution in a data centre that is cut off from the platform but not
  // from its peers: its entry instance still takes the old holder for the current one, and the
  // replicas of the old epoch still reply.
  @Test
  void holderCutOffFromTheLogIsFencedByItsReplicas() {
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

  // Guards against the loss of an outcome that arrives after its holder has lost the claim. The log
  // ignores the record of the old holder, so the successor would report "may have run" for ever.
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

  // Guards against refusals while the platform is down for a minute and the log accepts no intents.
  // The replicas keep the intents instead.
  @Test
  void requestsAreServedWhileTheLogIsDown() {
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

  // Guards against a second execution after a holder died in an outage of the log: the replicas
  // alone hold the intent, so a successor that trusts only the log would run the request again.
  @Test
  void successorRecoversFromAReplicaWhatTheLogLacks() {
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

  // Guards against refusals when one replica dies during an outage of the log. With three replicas
  // one may fail to respond, and a successor still recovers all entries from any two members.
  @Test
  void requestsAreServedWhenAReplicaIsLostInALogOutage() {
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

  // A successor that reaches only one member cannot know whether this member missed the intent.
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

  // All three members that kept an intent died before the log contained it. Running the key again
  // could execute it twice, so the key is refused as "may have run". Keys generated by entry
  // instances are still served.
  @Test
  void keysAreNotRunWhenAllReplicasAreLost() {
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

  // A holder and its replicas are cut off together and continue. The other instances take over.
  // Once the cut heals, they recover what ran there and serve all keys again.
  @Test
  void unresolvedEpochIsCollectedOnceItsReplicasReturn() {
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

  // A holder that drains before a graceful stop leaves no entries at its replicas, so its successor
  // need not reach any of them.
  @Test
  void drainedHolderReleasesItsReplicas() {
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
