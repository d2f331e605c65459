package io.hawthornlb.core.harness;

import io.hawthornlb.core.model.RefusalReason;
import io.hawthornlb.core.runonce.CallAnswered;
import io.hawthornlb.core.runonce.CallFailed;
import io.hawthornlb.core.runonce.CallNotStarted;
import io.hawthornlb.core.runonce.RunCall;
import io.hawthornlb.core.runonce.RunOnceKey;
import io.hawthornlb.core.runonce.ServiceResult;
import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Plain service that counts executions by key, and fails or refuses a configured fraction of the
 * calls.
 */
public final class FakeEndpoint {

  private final Cluster cluster;
  private final Map<RunOnceKey, Integer> executions = new HashMap<>();
  private double failures;
  private double refusals;
  private Duration duration = Duration.ofMillis(10);

  FakeEndpoint(Cluster cluster) {
    this.cluster = cluster;
  }

  /** Sets the fraction of calls whose connection breaks after they have run. */
  public void failures(double share) {
    failures = share;
  }

  /** Sets the fraction of calls that no endpoint accepts. */
  public void refusals(double share) {
    refusals = share;
  }

  public void duration(Duration value) {
    duration = value;
  }

  public int executions(RunOnceKey key) {
    return executions.getOrDefault(key, 0);
  }

  public static ServiceResult result(RunOnceKey key) {
    return new ServiceResult(200, List.of(), "done " + key.value());
  }

  void run(Node node, RunCall call) {
    RunOnceKey key = call.request().key();
    if (cluster.random().nextDouble() < refusals) {
      CallNotStarted refused = new CallNotStarted(key, call.attempt(), RefusalReason.NO_ENDPOINT);
      cluster.schedule(Duration.ofMillis(1), () -> node.deliver(() -> node.runOnce(refused)));
      return;
    }
    boolean fails = cluster.random().nextDouble() < failures;
    cluster.schedule(Duration.ofMillis(1), () -> executions.merge(key, 1, Integer::sum));
    cluster.schedule(
        duration,
        () ->
            node.deliver(
                () ->
                    node.runOnce(
                        fails
                            ? new CallFailed(key, call.attempt(), "connection reset")
                            : new CallAnswered(key, call.attempt(), result(key)))));
  }
}
