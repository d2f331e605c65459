package io.hawthornlb.core.runonce;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.hawthornlb.core.harness.Cluster;
import io.hawthornlb.core.harness.Delays;
import io.hawthornlb.core.harness.FakeEndpoint;
import io.hawthornlb.core.harness.Node;
import io.hawthornlb.core.harness.NodeParts;
import io.hawthornlb.core.harness.NodeParts.Variant;
import io.hawthornlb.core.job.JobSettings;
import io.hawthornlb.core.job.support.FirstComeJobOrder;
import io.hawthornlb.core.model.InstanceId;
import io.hawthornlb.core.model.RequestId;
import io.hawthornlb.core.model.RunStatus;
import io.hawthornlb.core.model.ServiceName;
import io.hawthornlb.core.model.WorkspaceId;
import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;

/**
 * Scenario with five instances, a holder with two or three replicas, and callers that resend their
 * requests.
 */
final class RunOnceScenario {

  static final Duration DEADLINE = Duration.ofSeconds(4);

  private final Cluster cluster;
  private final List<Node> nodes = new ArrayList<>();
  private final Map<RequestId, RunOnceAnswer> answers = new LinkedHashMap<>();
  private final Map<RequestId, RunOnceKey> keys = new LinkedHashMap<>();
  private final Map<RunOnceKey, RequestId> lastSends = new LinkedHashMap<>();
  private final List<RunOnceKey> wrongNotRunKeys = new ArrayList<>();
  private Consumer<AnswerCaller> listener = answer -> {};
  private int nextRequest;

  RunOnceScenario(long seed, RunOnceSettings settings, Variant variant) {
    this(seed, settings, variant, Delays.COARSE);
  }

  RunOnceScenario(long seed, RunOnceSettings settings, Variant variant, Delays delays) {
    cluster = new Cluster(seed, delays);
    JobSettings jobs = JobSettings.builder().logRetention(settings.logRetention()).build();
    NodeParts parts = new NodeParts(settings, jobs, new FirstComeJobOrder(), variant);
    for (int i = 0; i < 5; i++) {
      Node node = cluster.addNode("i" + i, parts);
      node.onAnswer(this::answered);
      nodes.add(node);
    }
  }

  static RunOnceSettings settings() {
    return RunOnceSettings.builder().recoveryTimeout(Duration.ofSeconds(3)).build();
  }

  void onAnswer(Consumer<AnswerCaller> consumer) {
    listener = consumer;
  }

  Cluster cluster() {
    return cluster;
  }

  Node node(int index) {
    return nodes.get(index);
  }

  /** Lets a node claim the partition, with the next three nodes as replicas. */
  void claimWithThreeReplicas(int holder) {
    claim(holder, (holder + 1) % 5, (holder + 2) % 5, (holder + 3) % 5);
  }

  /** Lets a node claim the partition, with the next two nodes as replicas. */
  void claim(int holder) {
    claim(holder, (holder + 1) % 5, (holder + 2) % 5);
  }

  void claim(int holder, Integer... replicas) {
    List<InstanceId> ids = new ArrayList<>();
    for (int replica : replicas) {
      ids.add(nodes.get(replica).id());
    }
    cluster.claim(nodes.get(holder), ids);
  }

  /** Lets a node claim the partition, and waits until it is ready for requests. */
  void settle(int holder) {
    claim(holder);
    assertTrue(
        cluster.runUntil(() -> ready(holder), Duration.ofSeconds(10)),
        "the holder must become ready within 10 seconds");
  }

  RequestId send(int entry, RunOnceKey key, boolean generated) {
    return send(entry, key, "content", generated);
  }

  RequestId send(int entry, RunOnceKey key, String content, boolean generated) {
    RequestId id = new RequestId("r" + nextRequest++);
    keys.put(id, key);
    lastSends.put(key, id);
    ServiceCall call = new ServiceCall("POST", "/check-in", List.of(), content);
    nodes
        .get(entry)
        .submit(
            id,
            new RunOnceRequest(
                key,
                generated,
                content,
                new ServiceName("checkin-app"),
                call,
                cluster.now().plus(DEADLINE),
                Duration.ofHours(1)));
    return id;
  }

  RunOnceAnswer await(RequestId id) {
    cluster.runUntil(() -> answers.containsKey(id), DEADLINE.plusSeconds(2));
    assertTrue(answers.containsKey(id), "the caller must get an answer");
    return answers.get(id);
  }

  StopPoint awaitStop(RequestId id) {
    return await(id).stopPoint().orElseThrow();
  }

  RunOnceAnswer answer(RequestId id) {
    return answers.get(id);
  }

  static RunOnceKey key(String value) {
    return new RunOnceKey(new WorkspaceId("al-harthy"), value);
  }

  int executions(RunOnceKey key) {
    return cluster.endpoint().executions(key);
  }

  /**
   * Returns the keys whose last request was answered with "not run" although this send or an
   * earlier one had run.
   */
  List<RunOnceKey> wrongNotRunKeys() {
    return wrongNotRunKeys;
  }

  static RunStatus status(RunOnceAnswer answer) {
    return answer.refusal().orElseThrow().run();
  }

  private boolean ready(int holder) {
    return nodes.get(holder).holds()
        && nodes
            .get(holder)
            .runOnceFold()
            .replicasNamed()
            .filter(named -> named.holder().equals(nodes.get(holder).id()))
            .isPresent();
  }

  private void answered(AnswerCaller effect) {
    assertTrue(
        answers.put(effect.id(), effect.answer()) == null, "a request must get exactly one answer");
    listener.accept(effect);
    RunOnceKey key = keys.get(effect.id());
    RunOnceAnswer answer = effect.answer();
    if (answer.result().isPresent()) {
      assertEquals(
          FakeEndpoint.result(key),
          answer.result().get(),
          "the caller must get the result of its own request");
    } else if (status(answer) == RunStatus.NOT_RUN
        && answer.stopPoint().orElseThrow() != StopPoint.CONTENT_CONFLICT
        && effect.id().equals(lastSends.get(key))
        && executions(key) > 0) {
      wrongNotRunKeys.add(key);
    }
  }
}
