package io.hawthornlb.core.harness;

import io.hawthornlb.core.claim.Claim;
import io.hawthornlb.core.model.Epoch;
import io.hawthornlb.core.model.InstanceId;
import io.hawthornlb.core.model.PartitionId;
import io.hawthornlb.core.peer.PeerMessage;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;
import java.util.function.BooleanSupplier;

/**
 * Simulated cluster of instances around one partition. Every delay and every loss is derived from
 * the seed.
 */
public final class Cluster {

  public static final PartitionId PARTITION = new PartitionId(0);
  public static final Instant START = Instant.parse("2026-01-01T00:00:00Z");

  private final Random random;
  private final Delays delays;
  private final PriorityQueue<Task> tasks =
      new PriorityQueue<>(Comparator.comparing(Task::at).thenComparingLong(Task::order));
  private final Map<InstanceId, Node> nodes = new LinkedHashMap<>();
  private final List<Claim> claims = new ArrayList<>();
  private final Set<Set<InstanceId>> disconnectedPairs = new HashSet<>();
  private final Set<InstanceId> cutFromLog = new HashSet<>();
  private final FakeLog log = new FakeLog();
  private final FakeEndpoint endpoint;
  private double lostAnswers;
  private double abandonedAppends;
  private Instant now = START;
  private long nextOrder;

  public Cluster(long seed, Delays delays) {
    this.random = new Random(seed);
    this.delays = delays;
    this.endpoint = new FakeEndpoint(this);
  }

  public Node addNode(String name, NodeParts parts) {
    Node node = new Node(new InstanceId(name), this, parts);
    nodes.put(node.id(), node);
    node.start();
    return node;
  }

  /** Adds a valid claim. The instances learn of it when they next read the log. */
  public Claim claim(Node holder, List<InstanceId> replicas) {
    Claim claim = new Claim(PARTITION, new Epoch(claims.size() + 1L), holder.id(), replicas);
    claims.add(claim);
    return claim;
  }

  public void schedule(Duration delay, Runnable action) {
    tasks.add(new Task(now.plus(delay), nextOrder++, action));
  }

  public void send(InstanceId sender, InstanceId target, PeerMessage message) {
    Duration delay = sender.equals(target) ? Duration.ZERO : delays.peer(random);
    schedule(
        delay,
        () -> {
          Node node = nodes.get(target);
          if (node != null && connected(sender, target)) {
            node.deliver(() -> node.receive(sender, message));
          }
        });
  }

  public void run(Duration time) {
    Instant end = now.plus(time);
    runTo(() -> false, end);
    now = end;
  }

  /** Runs until a condition holds, and returns whether it held within the given time. */
  public boolean runUntil(BooleanSupplier condition, Duration time) {
    return runTo(condition, now.plus(time));
  }

  public void cut(Node one, Node other) {
    disconnectedPairs.add(Set.of(one.id(), other.id()));
  }

  public void cutFromLog(Node node) {
    cutFromLog.add(node.id());
  }

  public void healAll() {
    disconnectedPairs.clear();
    cutFromLog.clear();
    log.down(false);
  }

  public boolean reachesLog(InstanceId node) {
    return !log.isDown() && !cutFromLog.contains(node);
  }

  public void lostAnswers(double share) {
    lostAnswers = share;
  }

  /** Sets the fraction of appends that the log writer of an instance abandons. */
  public void givenUpAppends(double share) {
    abandonedAppends = share;
  }

  public boolean appendGivenUp() {
    return abandonedAppends > 0 && random.nextDouble() < abandonedAppends;
  }

  public boolean answerLost() {
    return random.nextDouble() < lostAnswers;
  }

  public Instant now() {
    return now;
  }

  public Random random() {
    return random;
  }

  public Delays delays() {
    return delays;
  }

  public FakeLog log() {
    return log;
  }

  public FakeEndpoint endpoint() {
    return endpoint;
  }

  public List<Claim> claims() {
    return claims;
  }

  private boolean connected(InstanceId one, InstanceId other) {
    return one.equals(other) || !disconnectedPairs.contains(Set.of(one, other));
  }

  private boolean runTo(BooleanSupplier condition, Instant end) {
    while (!condition.getAsBoolean()) {
      Task next = tasks.peek();
      if (next == null || next.at().isAfter(end)) {
        return false;
      }
      tasks.remove();
      now = next.at();
      next.action().run();
    }
    return true;
  }

  private record Task(Instant at, long order, Runnable action) {}
}
