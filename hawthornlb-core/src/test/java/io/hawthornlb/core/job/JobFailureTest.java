package io.hawthornlb.core.job;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.hawthornlb.core.model.JobId;
import io.hawthornlb.core.model.RefusalReason;
import io.hawthornlb.core.model.RequestId;
import io.hawthornlb.core.model.RunStatus;
import java.time.Duration;
import java.util.List;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class JobFailureTest {

  private static final Duration LONG = Duration.ofSeconds(120);

  private final JobScenario scenario = new JobScenario(3);

  // A buyer's desk is told that its bay reports are accepted, the instance that said so dies, and
  // nobody else has ever heard of them.
  @Test
  void acceptedJobSurvivesTheHolderThatAcceptedIt() {
    scenario.hold(0);
    JobId job = scenario.accepted("reports", 120);
    scenario.node(0).kill();
    scenario.hold(1);
    scenario.stewards(8);

    assertTrue(scenario.awaitEnd(job, LONG));
    assertEquals(120, scenario.status(job).completed());
  }

  @Test
  void jobIsNotAcceptedWhileTheLogIsDown() {
    scenario.hold(0);
    JobHeader header = scenario.upload("reports", 20, "content", false);
    scenario.cluster().run(Duration.ofSeconds(1));
    scenario.cluster().log().down(true);
    RequestId request = scenario.submit(header);
    scenario.cluster().run(Duration.ofSeconds(5));
    assertFalse(scenario.answered(request));
    JobAnswer answer = scenario.await(request);

    assertEquals(JobAnswerKind.REFUSED, answer.kind());
    assertEquals(RunStatus.MAY_HAVE_RUN, answer.refusal().orElseThrow().run());
    assertTrue(answer.refusal().orElseThrow().retryAfter().isPresent());
    scenario.cluster().healAll();
    scenario.cluster().run(Duration.ofSeconds(2));
    assertEquals(JobAnswerKind.ACCEPTED, scenario.await(scenario.submit(header)).kind());
  }

  // A grower is billed twice for the same bay: the client sent its job again through another
  // instance after the first one had died, and both jobs ran.
  @Test
  void resentJobIsTheSameJob() {
    scenario.hold(0);
    JobId job = scenario.accepted("reports", 60);
    scenario.node(0).kill();
    scenario.hold(1);
    JobHeader again = scenario.upload("reports", 60, "content", false);
    JobAnswer answer = scenario.await(scenario.submit(again));
    scenario.stewards(8);

    assertEquals(JobAnswerKind.ACCEPTED, answer.kind());
    assertEquals(job, answer.job());
    assertTrue(scenario.awaitEnd(job, LONG));
    assertEquals(60, scenario.allExecutions());
  }

  @Test
  void otherContentUnderTheSameKeyIsRefused() {
    scenario.hold(0);
    scenario.accepted("reports", 60);
    JobHeader other = scenario.upload("reports", 60, "other", false);
    JobAnswer answer = scenario.await(scenario.submit(other));

    assertEquals(JobAnswerKind.REFUSED, answer.kind());
    assertEquals(RefusalReason.KEY_CONFLICT, answer.refusal().orElseThrow().reason());
  }

  // Some items of a job have two results, or none, after the holder died or stood still, appends
  // were taken twice since their answers were lost, and a steward died with items in flight.
  @ParameterizedTest
  @ValueSource(ints = {50, 150, 300, 450, 700, 1_000, 1_500})
  void eachItemEndsOnceThroughTakeOvers(int afterMillis) {
    scenario.cluster().lostAnswers(0.3);
    scenario.hold(0);
    JobId job = scenario.accepted("reports", 300);
    scenario.stewards(6);
    scenario.cluster().run(Duration.ofMillis(afterMillis));
    scenario.node(0).pause();
    scenario.hold(1);
    scenario.cluster().run(Duration.ofMillis(afterMillis));
    scenario.node(0).resume();
    scenario.node(2).kill();
    scenario.cluster().run(Duration.ofMillis(afterMillis));
    scenario.node(1).kill();
    scenario.hold(3);

    assertTrue(scenario.awaitEnd(job, LONG));
    assertEquals(300, scenario.status(job).completed());
    List<ItemOutcome> results = scenario.results(scenario.replay(), job);
    assertEquals(300, results.size());
    assertEquals(300, results.stream().map(ItemOutcome::index).distinct().count());
    results.forEach(end -> assertEquals("result " + end.index(), end.result()));
  }

  // Engines do the same reports again after each loss of an instance: results that a holder had
  // gathered and not yet stored were gone with it. The stewards have kept them.
  @Test
  void noWorkIsRedoneWhenOnlyTheHolderDies() {
    scenario.hold(0);
    JobId job = scenario.accepted("reports", 600);
    scenario.stewards(6);
    scenario.cluster().run(Duration.ofMillis(530));
    scenario.node(0).kill();
    scenario.hold(1);

    assertTrue(scenario.awaitEnd(job, LONG));
    assertEquals(600, scenario.status(job).completed());
    assertEquals(600, scenario.allExecutions());
  }

  @Test
  void drainedHolderLeavesNothingBehind() {
    scenario.hold(0);
    JobId job = scenario.accepted("reports", 600);
    scenario.stewards(6);
    scenario.cluster().run(Duration.ofMillis(530));
    scenario.node(0).job(new DrainJobs());
    JobHeader next = scenario.upload("next", 20, "content", false);
    assertEquals(JobAnswerKind.NOT_HOLDER, scenario.await(scenario.submit(next)).kind());
    assertTrue(
        scenario
            .cluster()
            .runUntil(() -> scenario.node(0).jobs().drained(), Duration.ofSeconds(2)));
    scenario.node(0).kill();
    scenario.hold(1);

    assertTrue(scenario.awaitEnd(job, LONG));
    assertEquals(600, scenario.allExecutions());
  }

  // A cancelled roster goes on after the instance that took the cancellation has died.
  @ParameterizedTest
  @ValueSource(booleans = {true, false})
  void cancelledJobStaysStoppedThroughATakeOver(boolean holderDies) {
    scenario.hold(0);
    JobId job = scenario.accepted("roster", 2_000);
    scenario.stewards(8);
    scenario.cluster().run(Duration.ofSeconds(1));
    assertEquals(JobAnswerKind.CANCELLED, scenario.await(scenario.cancel(job)).kind());
    scenario.cluster().run(Duration.ofMillis(50));
    int executed = scenario.allExecutions();
    if (holderDies) {
      scenario.node(0).kill();
      scenario.hold(1);
    }
    scenario.cluster().run(Duration.ofSeconds(10));

    assertEquals(executed, scenario.allExecutions());
    assertEquals(JobPhase.CANCELLED, scenario.status(job).phase());
    assertEquals(0, IntStream.range(1, 4).map(i -> scenario.node(i).dispatcher().running()).sum());
  }

  // The holder dies between the question and the record: the caller has no answer, asks again, and
  // the job stops.
  @Test
  void cancellationThatWasLostIsAskedAgain() {
    scenario.hold(0);
    JobId job = scenario.accepted("roster", 2_000);
    scenario.stewards(4);
    scenario.cluster().log().down(true);
    RequestId lost = scenario.cancel(job);
    scenario.cluster().run(Duration.ofMillis(100));
    scenario.node(0).kill();
    scenario.cluster().healAll();
    scenario.hold(1);
    scenario.cluster().run(Duration.ofSeconds(3));
    assertFalse(scenario.answered(lost));
    assertEquals(JobPhase.RUNNING, scenario.status(job).phase());

    assertEquals(JobAnswerKind.CANCELLED, scenario.await(scenario.cancel(job)).kind());
    int executed = scenario.allExecutions();
    scenario.cluster().run(Duration.ofSeconds(5));
    assertEquals(executed, scenario.allExecutions());
  }

  // A job never ends because of a few items that no engine can do.
  @Test
  void impossibleItemsEndAsFailedAndHoldNobodyUp() {
    scenario.hold(0);
    IntStream.range(0, 4)
        .forEach(i -> scenario.node(i).dispatcher().alwaysFailing(index -> index % 50 == 7));
    JobId job = scenario.accepted("reports", 200);
    scenario.stewards(8);

    assertTrue(scenario.awaitEnd(job, LONG));
    assertEquals(4, scenario.status(job).failed());
    assertEquals(196, scenario.status(job).completed());
    ItemOutcome failed =
        scenario.results(scenario.replay(), job).stream()
            .filter(end -> end.status() == ItemStatus.FAILED)
            .findFirst()
            .orElseThrow();
    assertTrue(failed.cause().contains("broken item"), failed.cause());
    assertEquals(5, scenario.executions(new ItemKey(job, 7)));
  }

  // Attempts are counted anew after each take-over, and an item that breaks things is tried for
  // ever in a fleet whose instances come and go.
  @Test
  void attemptsAreCountedThroughTakeOvers() {
    scenario.hold(0);
    IntStream.range(0, 4).forEach(i -> scenario.node(i).dispatcher().alwaysFailing(index -> true));
    JobId job = scenario.accepted("reports", 1);
    scenario.stewards(1);
    for (int holder = 1; holder < 4; holder++) {
      scenario.cluster().run(Duration.ofMillis(700));
      scenario.hold(holder);
    }

    assertTrue(scenario.awaitEnd(job, LONG));
    assertTrue(scenario.executions(new ItemKey(job, 0)) <= 8);
  }

  // A billing-relevant item runs twice, since the steward that had it is lost with its outcome and
  // the holder gives it to another one.
  @Test
  void itemsThatMayNotRepeatRunAtMostOnce() {
    assertEquals(0, doubledItems(true));
    assertTrue(doubledItems(false) > 0, "without the record of started items some run twice");
  }

  private static int doubledItems(boolean atMostOnce) {
    JobScenario own = new JobScenario(11);
    own.hold(0);
    JobHeader header = own.upload("billing", 1_000, "content", atMostOnce);
    assertEquals(JobAnswerKind.ACCEPTED, own.await(own.submit(header)).kind());
    own.stewards(6);
    own.cluster().run(Duration.ofMillis(500));
    own.node(2).kill();
    own.cluster().run(Duration.ofMillis(300));
    own.node(0).kill();
    own.node(1).pause();
    own.hold(3);
    own.cluster().run(Duration.ofSeconds(4));
    own.node(1).resume();

    assertTrue(own.awaitEnd(header.id(), LONG));
    assertEquals(1_000, own.results(own.replay(), header.id()).size());
    return (int)
        IntStream.range(0, 1_000)
            .filter(index -> own.executions(new ItemKey(header.id(), index)) > 1)
            .count();
  }

  // A job stands at 199 of 200 items for good: the log writer had given up one append after a long
  // outage, and the holder still waited for its record to come back.
  @Test
  void appendsThatWereGivenUpAreAskedForAgain() {
    scenario.hold(0);
    JobId job = scenario.accepted("reports", 200);
    scenario.cluster().givenUpAppends(0.5);
    scenario.stewards(4);
    assertTrue(scenario.awaitEnd(job, LONG));
    assertEquals(200, scenario.status(job).completed());

    JobId roster = scenario.upload("roster", 5_000, "content", false).id();
    scenario.cluster().givenUpAppends(0);
    assertEquals(roster, scenario.accepted("roster", 5_000));
    scenario.cluster().givenUpAppends(0.9);
    scenario.cancel(roster);
    scenario.cluster().runUntil(() -> cancelled(roster), LONG);
    assertTrue(cancelled(roster));
  }

  private boolean cancelled(JobId job) {
    return scenario.status(job).phase() == JobPhase.CANCELLED;
  }

  // Memory grows without bound in an outage of the platform, because endpoints go on and results
  // can't be stored: items are given out only as long as there is room for their results.
  @Test
  void noItemIsGivenOutWhileResultsCanNotBeStored() {
    JobScenario small =
        new JobScenario(
            3, JobScenario.settings().groupBytes(2_000).maxBufferedBytes(4_000).build());
    small.hold(0);
    JobId job = small.accepted("reports", 1_000);
    small.stewards(4);
    small.cluster().run(Duration.ofMillis(300));
    small.cluster().log().down(true);
    small.cluster().run(Duration.ofSeconds(5));
    int executed = small.allExecutions();
    small.cluster().run(Duration.ofSeconds(5));
    assertEquals(executed, small.allExecutions());
    assertTrue(executed < 150, "executed " + executed);

    small.cluster().healAll();
    assertTrue(small.awaitEnd(job, LONG));
    assertEquals(1_000, small.status(job).completed());
  }
}
