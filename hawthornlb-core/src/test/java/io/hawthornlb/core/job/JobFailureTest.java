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

  private static final Duration END_TIMEOUT = Duration.ofSeconds(120);

  private final JobScenario scenario = new JobScenario(3);

  // Guards against the loss of an accepted job: a holder accepts a job and dies, and no other
  // instance knows the job.
  @Test
  void acceptedJobSurvivesTheHolderThatAcceptedIt() {
    scenario.hold(0);
    JobId job = scenario.accepted("reports", 120);
    scenario.node(0).kill();
    scenario.hold(1);
    scenario.dispatcherWidth(8);

    assertTrue(scenario.awaitEnd(job, END_TIMEOUT));
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

  // Guards against double execution and double billing: a client resends its job through another
  // instance after the first instance has died, and both jobs run.
  @Test
  void resentJobIsTheSameJob() {
    scenario.hold(0);
    JobId job = scenario.accepted("reports", 60);
    scenario.node(0).kill();
    scenario.hold(1);
    JobHeader again = scenario.upload("reports", 60, "content", false);
    JobAnswer answer = scenario.await(scenario.submit(again));
    scenario.dispatcherWidth(8);

    assertEquals(JobAnswerKind.ACCEPTED, answer.kind());
    assertEquals(job, answer.job());
    assertTrue(scenario.awaitEnd(job, END_TIMEOUT));
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

  // Guards against items with two results or none: the holder dies or is paused, appends are stored
  // twice because their answers were lost, and a dispatcher dies with items in flight.
  @ParameterizedTest
  @ValueSource(ints = {50, 150, 300, 450, 700, 1_000, 1_500})
  void eachItemEndsOnceAcrossFailovers(int afterMillis) {
    scenario.cluster().lostAnswers(0.3);
    scenario.hold(0);
    JobId job = scenario.accepted("reports", 300);
    scenario.dispatcherWidth(6);
    scenario.cluster().run(Duration.ofMillis(afterMillis));
    scenario.node(0).pause();
    scenario.hold(1);
    scenario.cluster().run(Duration.ofMillis(afterMillis));
    scenario.node(0).resume();
    scenario.node(2).kill();
    scenario.cluster().run(Duration.ofMillis(afterMillis));
    scenario.node(1).kill();
    scenario.hold(3);

    assertTrue(scenario.awaitEnd(job, END_TIMEOUT));
    assertEquals(300, scenario.status(job).completed());
    List<ItemOutcome> results = scenario.results(scenario.jobFold(), job);
    assertEquals(300, results.size());
    assertEquals(300, results.stream().map(ItemOutcome::index).distinct().count());
    results.forEach(end -> assertEquals("result " + end.index(), end.result()));
  }

  // Guards against repeated work after the loss of an instance: results that the holder has
  // buffered but not stored are lost with the holder. Dispatchers keep these results and resend
  // them.
  @Test
  void noWorkIsRedoneWhenOnlyTheHolderDies() {
    scenario.hold(0);
    JobId job = scenario.accepted("reports", 600);
    scenario.dispatcherWidth(6);
    scenario.cluster().run(Duration.ofMillis(530));
    scenario.node(0).kill();
    scenario.hold(1);

    assertTrue(scenario.awaitEnd(job, END_TIMEOUT));
    assertEquals(600, scenario.status(job).completed());
    assertEquals(600, scenario.allExecutions());
  }

  @Test
  void drainedHolderHasStoredAllOutcomes() {
    scenario.hold(0);
    JobId job = scenario.accepted("reports", 600);
    scenario.dispatcherWidth(6);
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

    assertTrue(scenario.awaitEnd(job, END_TIMEOUT));
    assertEquals(600, scenario.allExecutions());
  }

  // Guards against a cancelled job that continues after the instance that accepted the cancellation
  // has died.
  @ParameterizedTest
  @ValueSource(booleans = {true, false})
  void cancelledJobStaysStoppedAfterFailover(boolean holderDies) {
    scenario.hold(0);
    JobId job = scenario.accepted("roster", 2_000);
    scenario.dispatcherWidth(8);
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

  // The holder dies after it receives the cancellation and before it stores the record. The caller
  // gets no answer and sends the cancellation again, and the job stops.
  @Test
  void lostCancellationSucceedsWhenResent() {
    scenario.hold(0);
    JobId job = scenario.accepted("roster", 2_000);
    scenario.dispatcherWidth(4);
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

  // Guards against a job that never ends because no engine can process a few of its items.
  @Test
  void impossibleItemsEndAsFailedAndDoNotBlockTheJob() {
    scenario.hold(0);
    IntStream.range(0, 4)
        .forEach(i -> scenario.node(i).dispatcher().alwaysFailing(index -> index % 50 == 7));
    JobId job = scenario.accepted("reports", 200);
    scenario.dispatcherWidth(8);

    assertTrue(scenario.awaitEnd(job, END_TIMEOUT));
    assertEquals(4, scenario.status(job).failed());
    assertEquals(196, scenario.status(job).completed());
    ItemOutcome failed =
        scenario.results(scenario.jobFold(), job).stream()
            .filter(end -> end.status() == ItemStatus.FAILED)
            .findFirst()
            .orElseThrow();
    assertTrue(failed.cause().contains("broken item"), failed.cause());
    assertEquals(5, scenario.executions(new ItemKey(job, 7)));
  }

  // Guards against endless retries: if each failover reset the attempt count, an item that always
  // fails would be retried forever in a fleet whose instances come and go.
  @Test
  void attemptCountSurvivesFailovers() {
    scenario.hold(0);
    IntStream.range(0, 4).forEach(i -> scenario.node(i).dispatcher().alwaysFailing(index -> true));
    JobId job = scenario.accepted("reports", 1);
    scenario.dispatcherWidth(1);
    for (int holder = 1; holder < 4; holder++) {
      scenario.cluster().run(Duration.ofMillis(700));
      scenario.hold(holder);
    }

    assertTrue(scenario.awaitEnd(job, END_TIMEOUT));
    assertTrue(scenario.executions(new ItemKey(job, 0)) <= 8);
  }

  // Guards against an item that runs twice, which matters for billing: the dispatcher is lost
  // together with the outcome of the item, and the holder dispatches the item to another
  // dispatcher.
  @Test
  void atMostOnceItemsNeverRunTwice() {
    assertEquals(0, doubledItems(true));
    assertTrue(
        doubledItems(false) > 0, "without the record of started items, some items must run twice");
  }

  private static int doubledItems(boolean atMostOnce) {
    JobScenario own = new JobScenario(11);
    own.hold(0);
    JobHeader header = own.upload("billing", 1_000, "content", atMostOnce);
    assertEquals(JobAnswerKind.ACCEPTED, own.await(own.submit(header)).kind());
    own.dispatcherWidth(6);
    own.cluster().run(Duration.ofMillis(500));
    own.node(2).kill();
    own.cluster().run(Duration.ofMillis(300));
    own.node(0).kill();
    own.node(1).pause();
    own.hold(3);
    own.cluster().run(Duration.ofSeconds(4));
    own.node(1).resume();

    assertTrue(own.awaitEnd(header.id(), END_TIMEOUT));
    assertEquals(1_000, own.results(own.jobFold(), header.id()).size());
    return (int)
        IntStream.range(0, 1_000)
            .filter(index -> own.executions(new ItemKey(header.id(), index)) > 1)
            .count();
  }

  // Guards against a job that stays at 199 of 200 items forever: the log writer abandons one append
  // after a long outage, and the holder keeps waiting for its record to appear in the stream.
  @Test
  void abandonedAppendsAreRequestedAgain() {
    scenario.hold(0);
    JobId job = scenario.accepted("reports", 200);
    scenario.cluster().givenUpAppends(0.5);
    scenario.dispatcherWidth(4);
    assertTrue(scenario.awaitEnd(job, END_TIMEOUT));
    assertEquals(200, scenario.status(job).completed());

    JobId roster = scenario.upload("roster", 5_000, "content", false).id();
    scenario.cluster().givenUpAppends(0);
    assertEquals(roster, scenario.accepted("roster", 5_000));
    scenario.cluster().givenUpAppends(0.9);
    scenario.cancel(roster);
    scenario.cluster().runUntil(() -> cancelled(roster), END_TIMEOUT);
    assertTrue(cancelled(roster));
  }

  private boolean cancelled(JobId job) {
    return scenario.status(job).phase() == JobPhase.CANCELLED;
  }

  // Guards against unbounded memory growth during an outage of the platform: endpoints keep
  // producing results that can't be stored. So items are dispatched only while the buffer has room
  // for their results.
  @Test
  void noItemIsDispatchedWhileResultsCannotBeStored() {
    JobScenario small =
        new JobScenario(
            3, JobScenario.settings().groupBytes(2_000).maxBufferedBytes(4_000).build());
    small.hold(0);
    JobId job = small.accepted("reports", 1_000);
    small.dispatcherWidth(4);
    small.cluster().run(Duration.ofMillis(300));
    small.cluster().log().down(true);
    small.cluster().run(Duration.ofSeconds(5));
    int executed = small.allExecutions();
    small.cluster().run(Duration.ofSeconds(5));
    assertEquals(executed, small.allExecutions());
    assertTrue(executed < 150, "executed " + executed);

    small.cluster().healAll();
    assertTrue(small.awaitEnd(job, END_TIMEOUT));
    assertEquals(1_000, small.status(job).completed());
  }
}
