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

/** One partition that this instance folds, as its holder or as a reader; used on the loop. */
final class PartitionHost implements AutoCloseable {

  private static final Duration BUSY_AFTER_EVENT = Duration.ofMillis(500);

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
  private Instant lastRunOnce = Instant.MIN;

  /** Begins to fold a stream at the first offset that the platform retains. */
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
            id, fold, runOnceFold, held, context.witnesses(), context.ids(), context.runOnce());
    this.lastUse = context.clock().instant();
    this.follower =
        context
            .log()
            .follow(
                StreamName.ofPartition(id),
                new RestartableFold(fold, onGap),
                context.missed(),
                (stream, entry) -> advanced());
  }

  /** Takes the claim of this instance, or its end. */
  void claimChanged(Optional<Claim> own) {
    if (own.equals(claim)) {
      return;
    }
    claim.ifPresent(before -> held.claimLost(before.epoch()));
    claim = own;
    own.ifPresent(now -> effects.perform(this, held.claimGained(now)));
    tick();
  }

  /** Returns whether this instance has the claim. */
  boolean claimed() {
    return claim.isPresent();
  }

  /** Returns the epoch of the claim that this instance has. */
  Optional<Epoch> epoch() {
    return claim.map(Claim::epoch);
  }

  /** Returns whether this instance decides for the partition now. */
  boolean decides() {
    return held.claim().isPresent();
  }

  /** Returns whether the state is whole. */
  boolean complete() {
    return fold.complete() && follower.freshAsOf().isPresent();
  }

  /** Returns whether the state holds everything that stood in the stream at a time. */
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
    return decides() ? jobs.backlog() : List.of();
  }

  void on(JobEvent event) {
    effects.perform(this, jobs.on(event, context.clock().instant()));
  }

  void on(RunOnceEvent event) {
    if (!(event instanceof RunOnceTick || event instanceof RunOnceAdvanced)) {
      lastRunOnce = context.clock().instant();
    }
    effects.perform(this, runOnce.on(event, context.clock().instant()));
  }

  /** Lets run-once requests go on, if there was one lately. */
  void tickRunOnce() {
    if (context.clock().instant().isBefore(lastRunOnce.plus(BUSY_AFTER_EVENT))) {
      on(new RunOnceTick());
    }
  }

  void tick() {
    List<Effect> due = held.tick(context.clock().instant());
    effects.perform(this, due);
    on(new JobTick());
    on(new RunOnceTick());
  }

  /** Takes nothing new and brings everything into the log. */
  void drain() {
    on(new DrainJobs());
    on(new Drain());
  }

  /** Returns whether nothing is left that is not in the log. */
  boolean drained() {
    return !claimed() || (jobs.drained() && runOnce.drained());
  }

  @Override
  public void close() {
    follower.close();
  }

  private void advanced() {
    on(new PartitionAdvanced());
    on(new RunOnceAdvanced());
  }
}
