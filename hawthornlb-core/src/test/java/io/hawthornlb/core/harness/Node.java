package io.hawthornlb.core.harness;

import io.hawthornlb.core.claim.Claim;
import io.hawthornlb.core.claim.ClaimView;
import io.hawthornlb.core.effect.AppendRecord;
import io.hawthornlb.core.effect.Effect;
import io.hawthornlb.core.effect.SendPeerMessage;
import io.hawthornlb.core.harness.NodeParts.Variant;
import io.hawthornlb.core.job.ItemsCancelled;
import io.hawthornlb.core.job.ItemsDispatched;
import io.hawthornlb.core.job.ItemsSettled;
import io.hawthornlb.core.job.JobAnswer;
import io.hawthornlb.core.job.JobCoordinator;
import io.hawthornlb.core.job.JobEvent;
import io.hawthornlb.core.job.JobTick;
import io.hawthornlb.core.job.PartitionAdvanced;
import io.hawthornlb.core.job.RecordReadBack;
import io.hawthornlb.core.job.RefreshRecord;
import io.hawthornlb.core.job.support.DefaultJobCoordinator;
import io.hawthornlb.core.job.support.JobFold;
import io.hawthornlb.core.log.LogRecord;
import io.hawthornlb.core.log.RecordId;
import io.hawthornlb.core.log.RecordIdSource;
import io.hawthornlb.core.model.InstanceId;
import io.hawthornlb.core.model.PartitionId;
import io.hawthornlb.core.model.RequestId;
import io.hawthornlb.core.partition.PartitionFold;
import io.hawthornlb.core.partition.support.DefaultHeldPartition;
import io.hawthornlb.core.partition.support.DefaultPartitionFold;
import io.hawthornlb.core.peer.PeerMessage;
import io.hawthornlb.core.runonce.AnswerCaller;
import io.hawthornlb.core.runonce.EntriesRecorded;
import io.hawthornlb.core.runonce.FenceAndCollect;
import io.hawthornlb.core.runonce.ForgetEntries;
import io.hawthornlb.core.runonce.OutcomeRead;
import io.hawthornlb.core.runonce.OutcomeUnreadable;
import io.hawthornlb.core.runonce.ReadOutcome;
import io.hawthornlb.core.runonce.ReplicaTable;
import io.hawthornlb.core.runonce.RunCall;
import io.hawthornlb.core.runonce.RunOnceAdvanced;
import io.hawthornlb.core.runonce.RunOnceAnswered;
import io.hawthornlb.core.runonce.RunOnceCoordinator;
import io.hawthornlb.core.runonce.RunOnceEvent;
import io.hawthornlb.core.runonce.RunOnceForwarder;
import io.hawthornlb.core.runonce.RunOnceRequest;
import io.hawthornlb.core.runonce.RunOnceTick;
import io.hawthornlb.core.runonce.StoreEntries;
import io.hawthornlb.core.runonce.support.DefaultRunOnceCoordinator;
import io.hawthornlb.core.runonce.support.DefaultRunOnceForwarder;
import io.hawthornlb.core.runonce.support.InMemoryReplicaTable;
import io.hawthornlb.core.runonce.support.RunOnceFold;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;

/**
 * Simulated instance that folds the stream, runs the coordinators and performs their effects on the
 * fakes.
 */
public final class Node implements ClaimView {

  private static final Duration RESEND = Duration.ofMillis(50);

  private final InstanceId id;
  private final Cluster cluster;
  private final JobFold jobFold = new JobFold(true);
  private final RunOnceFold runOnceFold = new RunOnceFold();
  private final PartitionFold fold;
  private final ReplicaTable table;
  private final DefaultHeldPartition held;
  private final RunOnceCoordinator runOnce;
  private final JobCoordinator jobs;
  private final RunOnceForwarder forwarder;
  private final Map<RecordId, AppendRecord> unacknowledged = new LinkedHashMap<>();
  private final Map<RecordId, Instant> sentAt = new LinkedHashMap<>();
  private final List<Runnable> inbox = new ArrayList<>();
  private final FakeDispatcher dispatcher;
  private Consumer<AnswerCaller> answers = answer -> {};
  private Consumer<JobAnswer> jobAnswers = answer -> {};
  private Optional<Claim> knownClaim = Optional.empty();
  private boolean alive = true;
  private boolean paused;

  Node(InstanceId id, Cluster cluster, NodeParts parts) {
    this.id = id;
    this.cluster = cluster;
    ReplicaTable fenced = new InMemoryReplicaTable(id, 1 << 22);
    this.table = parts.variant() == Variant.WITHOUT_FENCE ? new UnfencedReplicaTable(id) : fenced;
    RecordIdSource ids = new RecordIdSource(id);
    Duration retention = parts.jobs().logRetention();
    this.fold = new DefaultPartitionFold(0, retention, List.of(jobFold, runOnceFold));
    this.held = new DefaultHeldPartition(fold, ids, retention);
    this.runOnce =
        parts.variant() == Variant.WITHOUT_INTENTS
            ? new NaiveRunOnceCoordinator(Cluster.PARTITION, held)
            : new DefaultRunOnceCoordinator(
                Cluster.PARTITION, fold, runOnceFold, held, table, ids, parts.runOnce());
    this.jobs =
        new DefaultJobCoordinator(
            Cluster.PARTITION, fold, jobFold, held, ids, parts.order(), parts.jobs());
    this.forwarder = new DefaultRunOnceForwarder(id, this, 10_000);
    this.dispatcher = new FakeDispatcher(this, cluster);
  }

  public InstanceId id() {
    return id;
  }

  public JobFold jobFold() {
    return jobFold;
  }

  public RunOnceFold runOnceFold() {
    return runOnceFold;
  }

  public FakeDispatcher dispatcher() {
    return dispatcher;
  }

  public ReplicaTable table() {
    return table;
  }

  public JobCoordinator jobs() {
    return jobs;
  }

  public RunOnceCoordinator coordinator() {
    return runOnce;
  }

  /** Returns whether the node holds the partition as far as it knows. */
  public boolean holds() {
    return held.claim().isPresent();
  }

  @Override
  public Optional<Claim> current(PartitionId partition) {
    return knownClaim;
  }

  @Override
  public int partitions() {
    return 1;
  }

  public void onAnswer(Consumer<AnswerCaller> consumer) {
    answers = consumer;
  }

  public void onJobAnswer(Consumer<JobAnswer> consumer) {
    jobAnswers = consumer;
  }

  public void kill() {
    alive = false;
  }

  public void pause() {
    paused = true;
  }

  public void resume() {
    paused = false;
    List<Runnable> late = List.copyOf(inbox);
    inbox.clear();
    late.forEach(Runnable::run);
  }

  public boolean alive() {
    return alive;
  }

  public void submit(RequestId request, RunOnceRequest content) {
    deliver(() -> perform(forwarder.submit(request, content, cluster.now())));
  }

  public void runOnce(RunOnceEvent event) {
    perform(runOnce.on(event, cluster.now()));
  }

  public void job(JobEvent event) {
    perform(jobs.on(event, cluster.now()));
  }

  public void append(AppendRecord effect) {
    if (!cluster.appendGivenUp()) {
      unacknowledged.put(effect.id(), effect);
      sentAt.remove(effect.id());
      sendAppends();
    }
  }

  void start() {
    cluster.schedule(cluster.delays().poll(), this::poll);
    cluster.schedule(cluster.delays().tick(), this::tick);
  }

  void deliver(Runnable action) {
    if (alive && paused) {
      inbox.add(action);
    } else if (alive) {
      action.run();
    }
  }

  void receive(InstanceId sender, PeerMessage message) {
    if (message instanceof StoreEntries request) {
      cluster.send(id, sender, table.store(request, cluster.now()));
    } else if (message instanceof FenceAndCollect request) {
      cluster.send(id, sender, table.fence(request));
    } else if (message instanceof ForgetEntries forget) {
      table.forget(forget);
    } else if (message instanceof RunOnceAnswered answer) {
      perform(forwarder.answered(answer, cluster.now()));
    } else if (message instanceof JobAnswer answer) {
      jobAnswers.accept(answer);
    } else if (message instanceof ItemsDispatched dispatched) {
      dispatcher.run(dispatched);
    } else if (message instanceof ItemsCancelled cancelled) {
      dispatcher.cancel(cancelled);
    } else if (message instanceof ItemsSettled settled) {
      dispatcher.settled(settled);
    } else if (message instanceof RunOnceEvent event) {
      runOnce(event);
    } else if (message instanceof JobEvent event) {
      job(event);
    }
  }

  void send(InstanceId target, PeerMessage message) {
    cluster.send(id, target, message);
  }

  private void poll() {
    if (alive && !paused && cluster.reachesLog(id)) {
      readClaims();
      readStream();
    }
    cluster.schedule(cluster.delays().poll(), this::poll);
  }

  private void readClaims() {
    List<Claim> claims = cluster.claims();
    Claim last = claims.isEmpty() ? null : claims.get(claims.size() - 1);
    if (last == null || knownClaim.filter(last::equals).isPresent()) {
      return;
    }
    knownClaim.ifPresent(old -> held.claimLost(old.epoch()));
    knownClaim = Optional.of(last);
    if (last.holder().equals(id)) {
      perform(held.claimGained(last));
    }
    advanced();
  }

  private void readStream() {
    List<LogRecord> records = cluster.log().readFrom(fold.nextOffset());
    for (LogRecord entry : records) {
      fold.apply(entry);
      unacknowledged.remove(entry.id());
    }
    if (!records.isEmpty()) {
      advanced();
    }
  }

  private void advanced() {
    runOnce(new RunOnceAdvanced());
    job(new PartitionAdvanced());
  }

  private void tick() {
    if (alive && !paused) {
      perform(held.tick(cluster.now()));
      runOnce(new RunOnceTick());
      job(new JobTick());
      perform(forwarder.tick(cluster.now()));
      dispatcher.tick();
      sendAppends();
    }
    cluster.schedule(cluster.delays().tick(), this::tick);
  }

  /**
   * Sends the appends that are not acknowledged. If an acknowledgement was lost, the log stores the
   * record twice.
   */
  private void sendAppends() {
    for (AppendRecord effect : List.copyOf(unacknowledged.values())) {
      Instant last = sentAt.get(effect.id());
      if (last == null || last.plus(RESEND).isBefore(cluster.now())) {
        sentAt.put(effect.id(), cluster.now());
        cluster.schedule(cluster.delays().append(cluster.random()), () -> take(effect));
      }
    }
  }

  private void take(AppendRecord effect) {
    if (!cluster.reachesLog(id)) {
      return;
    }
    cluster.log().append(effect, cluster.now());
    if (!cluster.answerLost()) {
      deliver(() -> unacknowledged.remove(effect.id()));
    }
  }

  private void perform(List<Effect> effects) {
    effects.forEach(this::perform);
  }

  private void perform(Effect effect) {
    if (effect instanceof AppendRecord append) {
      append(append);
    } else if (effect instanceof SendPeerMessage send) {
      cluster.send(id, send.target(), send.message());
    } else if (effect instanceof RunCall call) {
      cluster.endpoint().run(this, call);
    } else if (effect instanceof AnswerCaller answer) {
      answers.accept(answer);
    } else if (effect instanceof ReadOutcome read) {
      cluster.schedule(Duration.ofMillis(1), () -> deliver(() -> readOutcome(read.offset())));
    } else if (effect instanceof RefreshRecord read) {
      cluster.schedule(
          Duration.ofMillis(1),
          () -> deliver(() -> job(new RecordReadBack(cluster.log().at(read.offset())))));
    }
  }

  private void readOutcome(long offset) {
    if (cluster.reachesLog(id) && cluster.log().at(offset).body() instanceof EntriesRecorded e) {
      runOnce(new OutcomeRead(offset, e));
    } else {
      runOnce(new OutcomeUnreadable(offset));
    }
  }
}
