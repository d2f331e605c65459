package io.hawthornlb.app.partition;

import io.hawthornlb.core.claim.Claim;
import io.hawthornlb.core.effect.Effect;
import io.hawthornlb.core.job.DrainJobs;
import io.hawthornlb.core.job.JobCoordinator;
import io.hawthornlb.core.job.JobDirectory;
import io.hawthornlb.core.job.JobEvent;
import io.hawthornlb.core.job.JobTick;
import io.hawthornlb.core.job.PartitionAdvanced;
import io.hawthornlb.core.job.ServiceBacklog;
import io.hawthornlb.core.job.support.DefaultJobCoordinator;
import io.hawthornlb.core.job.support.JobFold;
import io.hawthornlb.core.log.StreamName;
import io.hawthornlb.core.model.Epoch;
import io.hawthornlb.core.model.PartitionId;
import io.hawthornlb.core.partition.support.DefaultHeldPartition;
import io.hawthornlb.core.partition.support.DefaultPartitionFold;
import io.hawthornlb.core.runonce.Drain;
import io.hawthornlb.core.runonce.RunOnceAdvanced;
import io.hawthornlb.core.runonce.RunOnceCoordinator;
import io.hawthornlb.core.runonce.RunOnceEvent;
import io.hawthornlb.core.runonce.RunOnceTick;
import io.hawthornlb.core.runonce.support.DefaultRunOnceCoordinator;
import io.hawthornlb.core.runonce.support.RunOnceFold;
import io.hawthornlb.net.platform.support.StreamFollower;
import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.Optional;

/**
 * The state of one partition that this instance folds, either as the holder of the partition or to
 * read jobs. Used on the decision loop.
 */
final class PartitionHost implements AutoCloseable {

  private static final Duration RUN_ONCE_ACTIVE_TIME = Duration.ofMillis(500);

  private final PartitionId id;
  private final PartitionEffects effects;
  private final PartitionContext context;
  private final DefaultPartitionFold fold;
  private final JobFold jobFold;
  private final DefaultHeldPartition held;
  private final JobCoordinator jobs;
  private final RunOnceCoordinator runOnce;
  private final StreamFollower follower;
  private Optional<Claim> claim = Optional.empty();
  private Instant lastUse;
  private Instant lastRunOnceEvent = Instant.MIN;

  /** Starts to fold the stream at the first offset that the platform retains. */
  PartitionHost(
      PartitionId id,
      long firstOffset,
      PartitionContext context,
      PartitionEffects effects,
      Runnable onGap) {
    this.id = id;
    this.effects = effects;
    this.context = context;
    this.jobFold = new JobFold(firstOffset == 0);
    RunOnceFold runOnceFold = new RunOnceFold();
    this.fold =
        new DefaultPartitionFold(
            firstOffset, context.jobs().logRetention(), List.of(jobFold, runOnceFold));
    this.held = new DefaultHeldPartition(fold, context.ids(), context.jobs().logRetention());
    this.jobs =
        new DefaultJobCoordinator(
            id, fold, jobFold, held, context.ids(), context.order(), context.jobs());
    this.runOnce =
        new DefaultRunOnceCoordinator(
            id, fold, runOnceFold, held, context.replicaTable(), context.ids(), context.runOnce());
    this.lastUse = context.clock().instant();
    this.follower =
        context
            .log()
            .follow(
                StreamName.ofPartition(id),
                new RestartableFold(fold, onGap),
                context.missed(),
                (stream, entry) -> onAdvanced());
  }

  /** Sets the claim of this instance on the partition; empty if the instance has no claim. */
  void claimChanged(Optional<Claim> own) {
    if (own.equals(claim)) {
      return;
    }
    claim.ifPresent(previous -> held.claimLost(previous.epoch()));
    claim = own;
    own.ifPresent(current -> effects.perform(this, held.claimGained(current)));
    tick();
  }

  /** Returns whether this instance has a claim on the partition. */
  boolean claimed() {
    return claim.isPresent();
  }

  /** Returns the epoch of the claim of this instance; empty without a claim. */
  Optional<Epoch> epoch() {
    return claim.map(Claim::epoch);
  }

  /**
   * Returns whether this instance makes decisions for the partition: its claim is in force, and the
   * fold of the stream is complete.
   */
  boolean makesDecisions() {
    return held.claim().isPresent();
  }

  /** Returns whether the folded state is complete and the follower has read the stream. */
  boolean complete() {
    return fold.complete() && follower.freshAsOf().isPresent();
  }

  /** Returns whether the state includes every record that was in the stream at a time. */
  boolean knowsAllBefore(Instant time) {
    return follower.freshAsOf().filter(known -> !known.isBefore(time)).isPresent();
  }

  PartitionId id() {
    return id;
  }

  JobDirectory directory() {
    lastUse = context.clock().instant();
    return jobFold;
  }

  Instant lastUse() {
    return lastUse;
  }

  List<ServiceBacklog> backlog() {
    return makesDecisions() ? jobs.backlog() : List.of();
  }

  void on(JobEvent event) {
    effects.perform(this, jobs.on(event, context.clock().instant()));
  }

  void on(RunOnceEvent event) {
    if (!(event instanceof RunOnceTick || event instanceof RunOnceAdvanced)) {
      lastRunOnceEvent = context.clock().instant();
    }
    effects.perform(this, runOnce.on(event, context.clock().instant()));
  }

  /** Advances run-once requests if a run-once event arrived within the last 500 ms. */
  void tickRunOnce() {
    if (context.clock().instant().isBefore(lastRunOnceEvent.plus(RUN_ONCE_ACTIVE_TIME))) {
      on(new RunOnceTick());
    }
  }

  void tick() {
    List<Effect> due = held.tick(context.clock().instant());
    effects.perform(this, due);
    on(new JobTick());
    on(new RunOnceTick());
  }

  /** Stops accepting new work and writes everything that is pending to the log. */
  void drain() {
    on(new DrainJobs());
    on(new Drain());
  }

  /**
   * Returns whether no work is left that must be written to the log. Always true without a claim.
   */
  boolean drained() {
    return !claimed() || (jobs.drained() && runOnce.drained());
  }

  @Override
  public void close() {
    follower.close();
  }

  private void onAdvanced() {
    on(new PartitionAdvanced());
    on(new RunOnceAdvanced());
  }
}
