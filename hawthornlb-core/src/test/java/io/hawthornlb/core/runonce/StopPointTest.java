package io.hawthornlb.core.runonce;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.hawthornlb.core.effect.Effect;
import io.hawthornlb.core.harness.Cluster;
import io.hawthornlb.core.harness.Node;
import io.hawthornlb.core.harness.NodeParts.Variant;
import io.hawthornlb.core.model.RequestId;
import io.hawthornlb.core.model.RunStatus;
import io.hawthornlb.core.model.ServiceName;
import io.hawthornlb.core.runonce.support.DefaultRunOnceForwarder;
import java.time.Duration;
import java.util.List;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/** Makes a request stop at each point and checks what its caller is told. */
class StopPointTest {

  private static final RunOnceKey KEY = RunOnceScenario.key("waiter-7");
  private static final RunOnceKey OTHER = RunOnceScenario.key("waiter-8");

  private final RunOnceScenario scenario =
      new RunOnceScenario(
          7,
          RunOnceSettings.builder().recoveryTimeout(Duration.ofSeconds(6)).maxRuns(1).build(),
          Variant.STANDARD);

  // Guards against a false "not run". The caller then repeats the request under a new key, and the
  // service runs it twice.
  @ParameterizedTest
  @EnumSource
  void refusalMatchesWhatRan(StopPoint point) {
    RunOnceAnswer answer = stopAt(point);

    assertEquals(point, answer.stopPoint().orElseThrow());
    assertEquals(List.of(), scenario.wrongNotRunKeys());
    assertEquals(point.refusal(false).reason(), answer.refusal().orElseThrow().reason());
    if (RunOnceScenario.status(answer) == RunStatus.NOT_RUN) {
      int before = scenario.executions(KEY);
      scenario.cluster().healAll();
      scenario.cluster().run(Duration.ofSeconds(20));
      assertEquals(before, scenario.executions(KEY));
      assertTrue(before == 0 || point == StopPoint.CONTENT_CONFLICT);
    }
  }

  // A caller may have sent its key before, through an entry instance and a holder that this
  // instance cannot reach. Guards against "not run" for such a request, which may have run.
  @ParameterizedTest
  @EnumSource
  void resendIsReportedAsNotRunOnlyWithDurableKnowledge(StopPoint point) {
    boolean durable = point == StopPoint.CONTENT_CONFLICT || point == StopPoint.NOT_DISPATCHED;

    RunStatus expected = durable ? RunStatus.NOT_RUN : RunStatus.MAY_HAVE_RUN;
    assertEquals(expected, point.runStatus(false));
  }

  private RunOnceAnswer stopAt(StopPoint point) {
    return switch (point) {
      case NO_HOLDER -> send(true);
      case ENTRY_FULL -> entryFull();
      case HOLDER_SILENT -> holderSilent();
      case RECOVERING -> recovering(Duration.ofSeconds(3));
      case WITNESSES_LOST -> recovering(Duration.ofSeconds(8));
      case HOLDER_FULL -> holderFull();
      case CONTENT_CONFLICT -> conflict();
      case CONTENT_CONFLICT_PENDING -> pendingConflict();
      case INTENT_NOT_DURABLE -> notDurable();
      case NOT_DISPATCHED -> notDispatched();
      case ENDPOINT_FAILED -> endpointFailed();
      case STILL_RUNNING -> stillRunning();
      case OUTCOME_UNKNOWN -> outcomeUnknown();
      case RESULT_UNREADABLE -> resultUnreadable();
    };
  }

  private RunOnceAnswer send(boolean generated) {
    return scenario.await(scenario.send(3, KEY, generated));
  }

  private RunOnceAnswer entryFull() {
    scenario.settle(0);
    Node entry = scenario.node(0);
    DefaultRunOnceForwarder forwarder = new DefaultRunOnceForwarder(entry.id(), entry, 1);
    forwarder.submit(new RequestId("a"), request(OTHER), Cluster.START);
    List<Effect> effects = forwarder.submit(new RequestId("b"), request(KEY), Cluster.START);
    return ((AnswerCaller) effects.get(0)).answer();
  }

  private static RunOnceRequest request(RunOnceKey key) {
    ServiceCall call = new ServiceCall("POST", "/check-in", List.of(), "");
    return new RunOnceRequest(
        key,
        true,
        "content",
        new ServiceName("checkin-app"),
        call,
        Cluster.START.plusSeconds(5),
        Duration.ofHours(1));
  }

  private RunOnceAnswer holderSilent() {
    scenario.settle(0);
    scenario.node(0).kill();
    return send(true);
  }

  private RunOnceAnswer recovering(Duration after) {
    scenario.settle(0);
    for (int member = 0; member < 3; member++) {
      scenario.node(member).kill();
    }
    scenario.claim(3, 4);
    scenario.cluster().run(after);
    return send(false);
  }

  private RunOnceAnswer holderFull() {
    scenario.settle(0);
    scenario.cluster().endpoint().duration(Duration.ofSeconds(3));
    scenario.send(1, OTHER, false);
    scenario.cluster().run(Duration.ofMillis(100));
    return send(true);
  }

  private RunOnceAnswer conflict() {
    scenario.settle(0);
    send(false);
    scenario.cluster().run(Duration.ofSeconds(1));
    return scenario.await(scenario.send(4, KEY, "other content", false));
  }

  private RunOnceAnswer pendingConflict() {
    isolateHolder();
    scenario.send(0, KEY, false);
    return scenario.await(scenario.send(0, KEY, "other content", false));
  }

  private RunOnceAnswer notDurable() {
    isolateHolder();
    return scenario.await(scenario.send(0, KEY, true));
  }

  private void isolateHolder() {
    scenario.settle(0);
    scenario.cluster().log().down(true);
    scenario.cluster().cut(scenario.node(0), scenario.node(1));
  }

  private RunOnceAnswer notDispatched() {
    scenario.settle(0);
    scenario.cluster().endpoint().refusals(1);
    return send(false);
  }

  private RunOnceAnswer endpointFailed() {
    scenario.settle(0);
    scenario.cluster().endpoint().failures(1);
    return send(false);
  }

  private RunOnceAnswer stillRunning() {
    scenario.settle(0);
    scenario.cluster().endpoint().duration(Duration.ofSeconds(10));
    return send(false);
  }

  private RunOnceAnswer outcomeUnknown() {
    scenario.settle(0);
    scenario.cluster().endpoint().duration(Duration.ofSeconds(3));
    scenario.send(3, KEY, false);
    scenario.cluster().run(Duration.ofMillis(100));
    scenario.node(0).kill();
    scenario.settle(1);
    return send(false);
  }

  private RunOnceAnswer resultUnreadable() {
    scenario.settle(0);
    send(false);
    scenario.cluster().run(Duration.ofSeconds(1));
    scenario.cluster().log().down(true);
    return send(false);
  }
}
