package io.hawthornlb.core.job;

import static org.junit.jupiter.api.Assertions.assertTrue;

import io.hawthornlb.core.claim.Claim;
import io.hawthornlb.core.effect.AppendRecord;
import io.hawthornlb.core.harness.Cluster;
import io.hawthornlb.core.harness.Delays;
import io.hawthornlb.core.harness.Node;
import io.hawthornlb.core.harness.NodeParts;
import io.hawthornlb.core.job.support.FairDeadlineJobOrder;
import io.hawthornlb.core.job.support.JobFold;
import io.hawthornlb.core.log.LogRecord;
import io.hawthornlb.core.log.RecordId;
import io.hawthornlb.core.log.StreamName;
import io.hawthornlb.core.model.InstanceId;
import io.hawthornlb.core.model.JobId;
import io.hawthornlb.core.model.RequestId;
import io.hawthornlb.core.model.ServiceName;
import io.hawthornlb.core.model.WorkspaceId;
import io.hawthornlb.core.peer.PeerMessage;
import io.hawthornlb.core.runonce.RunOnceSettings;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * Four instances with dispatchers, and a caller that submits and cancels jobs and can resend its
 * requests.
 */
final class JobScenario {

  static final WorkspaceId WORKSPACE = new WorkspaceId("vatuwaqa");
  private static final ServiceName SERVICE = new ServiceName("log-reader");
  private static final InstanceId CALLER = new InstanceId("caller");
  private static final int CHUNK = 50;

  private final Cluster cluster;
  private final List<Node> nodes = new ArrayList<>();
  private final Map<RequestId, JobAnswer> answers = new HashMap<>();
  private long sequence;

  JobScenario(long seed) {
    this(seed, settings().build());
  }

  JobScenario(long seed, JobSettings settings) {
    cluster = new Cluster(seed, Delays.COARSE);
    for (int i = 0; i < 4; i++) {
      NodeParts parts =
          NodeParts.standard(
              RunOnceSettings.builder().build(),
              settings,
              new FairDeadlineJobOrder(Duration.ofMinutes(1), workspace -> 1));
      Node node = cluster.addNode("i" + i, parts);
      node.onJobAnswer(answer -> answers.put(answer.request(), answer));
      nodes.add(node);
    }
  }

  static JobSettings.Builder settings() {
    return JobSettings.builder()
        .groupDelay(Duration.ofMillis(200))
        .groupItems(40)
        .dispatcherTimeout(Duration.ofSeconds(2))
        .adoptionDelay(Duration.ofSeconds(1))
        .retryDelay(Duration.ofMillis(100));
  }

  Cluster cluster() {
    return cluster;
  }

  Node node(int index) {
    return nodes.get(index);
  }

  /**
   * Makes a node claim the partition, and waits up to 5 seconds until the node holds the partition.
   */
  void hold(int holder) {
    cluster.claim(node(holder), List.of());
    cluster.runUntil(() -> node(holder).holds(), Duration.ofSeconds(5));
  }

  /** Sets how many items the dispatcher of each node but the first runs at once. */
  void dispatcherWidth(int width) {
    nodes.forEach(node -> node.dispatcher().width(node == nodes.get(0) ? 0 : width));
  }

  void killAtMostOne(int index) {
    if (nodes.stream().allMatch(Node::alive)) {
      node(index).kill();
    }
  }

  JobHeader upload(String key, int items, String content, boolean atMostOnce) {
    String submission = "s" + sequence;
    JobHeader header =
        new JobHeader(
            JobIds.of(WORKSPACE, key, 1),
            WORKSPACE,
            key,
            content + items,
            submission,
            (items + CHUNK - 1) / CHUNK,
            items,
            cluster.now().plusSeconds(600),
            cluster.now(),
            Duration.ofHours(1),
            atMostOnce);
    for (int chunk = 0; chunk < header.chunks(); chunk++) {
      List<JobItem> own = new ArrayList<>();
      for (int i = chunk * CHUNK; i < Math.min(items, (chunk + 1) * CHUNK); i++) {
        own.add(new JobItem("item-" + i, "POST", "/v1/chat/completions", "body " + i));
      }
      JobChunk body = new JobChunk(header.id(), submission, chunk, SERVICE, own, Optional.empty());
      RecordId id = new RecordId(CALLER, sequence++);
      nodes.get(3).append(new AppendRecord(StreamName.ofPartition(Cluster.PARTITION), id, body));
    }
    return header;
  }

  RequestId submit(JobHeader header) {
    RequestId request = new RequestId("q" + sequence++);
    toHolder(new SubmitJob(node(3).id(), request, header, false));
    return request;
  }

  RequestId cancel(JobId job) {
    RequestId request = new RequestId("q" + sequence++);
    toHolder(new CancelJob(node(3).id(), request, WORKSPACE, job));
    return request;
  }

  JobAnswer await(RequestId request) {
    cluster.runUntil(() -> answers.containsKey(request), Duration.ofSeconds(20));
    assertTrue(answers.containsKey(request), "the caller must get an answer");
    return answers.get(request);
  }

  boolean answered(RequestId request) {
    return answers.containsKey(request);
  }

  JobId accepted(String key, int items) {
    JobHeader header = upload(key, items, "content", false);
    assertTrue(await(submit(header)).kind() == JobAnswerKind.ACCEPTED);
    return header.id();
  }

  /** Returns the status of a job as the last node has folded it. */
  JobStatus status(JobId job) {
    return jobFold().status(job).orElseThrow();
  }

  boolean awaitEnd(JobId job, Duration time) {
    return cluster.runUntil(() -> status(job).phase() != JobPhase.RUNNING, time);
  }

  JobFold jobFold() {
    return nodes.get(3).jobFold();
  }

  /** Reads the results of a job page by page, as an entry instance does. */
  List<ItemOutcome> results(JobDirectory directory, JobId job) {
    return results(directory, job, cluster.log().readFrom(0));
  }

  static List<ItemOutcome> results(JobDirectory directory, JobId job, List<LogRecord> records) {
    List<ItemOutcome> outcomes = new ArrayList<>();
    Optional<Integer> cursor = Optional.of(0);
    while (cursor.isPresent()) {
      ResultPage page = directory.results(job, cursor.get(), 3);
      for (ResultSpan span : page.spans()) {
        LogRecord entry = records.get((int) (span.offset() - records.get(0).offset()));
        outcomes.addAll(span.select((ItemOutcomes) entry.body()));
      }
      cursor = page.next();
    }
    return outcomes;
  }

  int executions(ItemKey item) {
    return nodes.stream()
        .mapToInt(node -> node.dispatcher().executions().getOrDefault(item, 0))
        .sum();
  }

  int allExecutions() {
    return nodes.stream()
        .flatMap(node -> node.dispatcher().executions().values().stream())
        .mapToInt(Integer::intValue)
        .sum();
  }

  private void toHolder(PeerMessage message) {
    Claim claim = cluster.claims().get(cluster.claims().size() - 1);
    cluster.send(node(3).id(), claim.holder(), message);
  }
}
