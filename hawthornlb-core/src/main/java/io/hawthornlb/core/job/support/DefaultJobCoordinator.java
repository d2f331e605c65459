package io.hawthornlb.core.job.support;

import io.hawthornlb.core.claim.Claim;
import io.hawthornlb.core.effect.AppendRecord;
import io.hawthornlb.core.effect.Effect;
import io.hawthornlb.core.job.CancelJob;
import io.hawthornlb.core.job.DispatcherLost;
import io.hawthornlb.core.job.DrainJobs;
import io.hawthornlb.core.job.ItemDispatch;
import io.hawthornlb.core.job.ItemFailed;
import io.hawthornlb.core.job.ItemFinished;
import io.hawthornlb.core.job.ItemOutcomes;
import io.hawthornlb.core.job.ItemsHeld;
import io.hawthornlb.core.job.JobCoordinator;
import io.hawthornlb.core.job.JobEvent;
import io.hawthornlb.core.job.JobOrder;
import io.hawthornlb.core.job.JobSettings;
import io.hawthornlb.core.job.PullJobItems;
import io.hawthornlb.core.job.RecordReadBack;
import io.hawthornlb.core.job.ServiceBacklog;
import io.hawthornlb.core.job.SubmitJob;
import io.hawthornlb.core.log.RecordIdSource;
import io.hawthornlb.core.log.StreamName;
import io.hawthornlb.core.model.Epoch;
import io.hawthornlb.core.model.PartitionId;
import io.hawthornlb.core.partition.HeldPartition;
import io.hawthornlb.core.partition.PartitionFold;
import io.hawthornlb.core.partition.support.ResentAppends;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Objects;
import org.jspecify.annotations.Nullable;

/**
 * The {@link JobCoordinator} in production use. An instance has one for each partition that it
 * holds or has held.
 */
public final class DefaultJobCoordinator implements JobCoordinator {

  private final StreamName stream;
  private final PartitionFold partition;
  private final HeldPartition held;
  private final RecordIdSource ids;
  private final JobFold jobs;
  private final ResentAppends appends;
  private final OutcomeBuffer buffer;
  private final ItemScheduler scheduler;
  private final ItemSender itemSender;
  private final PendingJobRequests pendingRequests;
  private final JobMaintenance maintenance;
  private @Nullable Epoch epoch;
  private long foldedOffset = -1;
  private boolean draining;

  /**
   * Creates the coordinator of one partition.
   *
   * @param id the partition
   * @param partition the fold of the partition's stream
   * @param jobs the state of the jobs, which the fold of the stream updates
   * @param held tells whether this instance holds the partition
   * @param ids the source of the ids of the records that this instance appends
   * @param order chooses the job whose item is dispatched next
   * @param settings limits and timeouts
   */
  public DefaultJobCoordinator(
      PartitionId id,
      PartitionFold partition,
      JobFold jobs,
      HeldPartition held,
      RecordIdSource ids,
      JobOrder order,
      JobSettings settings) {
    this.stream = StreamName.ofPartition(id);
    this.partition = partition;
    this.held = held;
    this.ids = ids;
    this.buffer = new OutcomeBuffer(settings);
    this.scheduler = new ItemScheduler(jobs, settings, order, buffer);
    this.jobs = jobs;
    this.appends = new ResentAppends();
    this.itemSender = new ItemSender(id, jobs, scheduler, ids, appends);
    this.pendingRequests = new PendingJobRequests(id, jobs, settings, ids, appends);
    this.maintenance = new JobMaintenance(id, partition, jobs, settings, ids);
  }

  @Override
  public List<Effect> on(JobEvent event, Instant now) {
    List<Effect> out = new ArrayList<>();
    followClaim(now, out);
    draining |= event instanceof DrainJobs;
    if (epoch == null) {
      redirect(event, out);
      return out;
    }
    followLog(epoch, now, out);
    if (draining) {
      redirect(event, out);
    }
    decide(event, epoch, now, out);
    flush(epoch, now, out);
    return out;
  }

  @Override
  public boolean drained() {
    boolean done = epoch == null || buffer.empty() && pendingRequests.empty();
    return draining && done;
  }

  @Override
  public List<ServiceBacklog> backlog() {
    return scheduler.backlog();
  }

  private void followClaim(Instant now, List<Effect> out) {
    Epoch current = held.claim().map(Claim::epoch).orElse(null);
    if (Objects.equals(current, epoch)) {
      return;
    }
    pendingRequests.end(out);
    itemSender.clear();
    appends.clear();
    scheduler.end();
    epoch = current;
    if (current != null) {
      scheduler.begin(now);
      maintenance.begin();
    }
  }

  private void followLog(Epoch current, Instant now, List<Effect> out) {
    if (partition.nextOffset() == foldedOffset) {
      return;
    }
    foldedOffset = partition.nextOffset();
    scheduler.advance(out);
    itemSender.advance(now, out);
    pendingRequests.advance(current, now, out);
  }

  private void redirect(JobEvent event, List<Effect> out) {
    if (event instanceof SubmitJob submit) {
      out.add(PendingJobRequests.notHolder(submit));
    } else if (event instanceof CancelJob cancel) {
      out.add(PendingJobRequests.notHolder(cancel));
    } else if (event instanceof PullJobItems pull) {
      itemSender.sendNone(pull, out);
    }
  }

  private void decide(JobEvent event, Epoch current, Instant now, List<Effect> out) {
    if (draining && takesNew(event)) {
      tick(current, now, out);
      return;
    }
    if (event instanceof SubmitJob submit) {
      pendingRequests.submit(submit, current, now, out);
    } else if (event instanceof CancelJob cancel) {
      cancel(cancel, current, now, out);
    } else if (event instanceof PullJobItems pull) {
      List<ItemDispatch> items = scheduler.pull(pull, now);
      itemSender.send(pull, items, current, now, out);
    } else if (event instanceof ItemsHeld report) {
      scheduler.held(report, now, out);
    } else if (event instanceof ItemFinished report) {
      scheduler.finished(report, now, out);
    } else if (event instanceof ItemFailed report) {
      scheduler.failed(report, now, out);
    } else if (event instanceof DispatcherLost lost) {
      itemSender.dispatcherLost(lost.dispatcher());
      scheduler.dispatcherLost(lost.dispatcher(), now);
    } else if (event instanceof RecordReadBack back) {
      maintenance.readBack(back.entry(), current, out);
    }
    tick(current, now, out);
  }

  private static boolean takesNew(JobEvent event) {
    return event instanceof SubmitJob
        || event instanceof CancelJob
        || event instanceof PullJobItems;
  }

  private void cancel(CancelJob event, Epoch current, Instant now, List<Effect> out) {
    if (pendingRequests.cancel(event, current, now, out)) {
      scheduler.stop(event.job(), out);
    }
  }

  private void tick(Epoch current, Instant now, List<Effect> out) {
    scheduler.tick(now);
    pendingRequests.tick(now, out);
    maintenance.tick(current, now, out);
    appends.tick(now, out);
  }

  private void flush(Epoch current, Instant now, List<Effect> out) {
    if (buffer.due(now) || draining && buffer.hasOutcomes()) {
      ItemOutcomes outcomes = buffer.flush(current);
      AppendRecord effect = new AppendRecord(stream, ids.next(), outcomes);
      appends.add(effect, () -> OutcomeBuffer.folded(outcomes, jobs), now, out);
    }
  }
}
