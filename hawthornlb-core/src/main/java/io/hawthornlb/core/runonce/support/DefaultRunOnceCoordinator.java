package io.hawthornlb.core.runonce.support;

import io.hawthornlb.core.claim.Claim;
import io.hawthornlb.core.effect.AppendRecord;
import io.hawthornlb.core.effect.Effect;
import io.hawthornlb.core.log.RecordIdSource;
import io.hawthornlb.core.log.StreamName;
import io.hawthornlb.core.model.Epoch;
import io.hawthornlb.core.model.PartitionId;
import io.hawthornlb.core.partition.HeldPartition;
import io.hawthornlb.core.partition.PartitionFold;
import io.hawthornlb.core.partition.support.ResentAppends;
import io.hawthornlb.core.runonce.CallAnswered;
import io.hawthornlb.core.runonce.CallFailed;
import io.hawthornlb.core.runonce.CallNotStarted;
import io.hawthornlb.core.runonce.Drain;
import io.hawthornlb.core.runonce.EntriesRecorded;
import io.hawthornlb.core.runonce.EntriesStored;
import io.hawthornlb.core.runonce.ForwardRunOnce;
import io.hawthornlb.core.runonce.LateOutcome;
import io.hawthornlb.core.runonce.OutcomeRead;
import io.hawthornlb.core.runonce.OutcomeUnreadable;
import io.hawthornlb.core.runonce.ReplicaContents;
import io.hawthornlb.core.runonce.ReplicaTable;
import io.hawthornlb.core.runonce.ReplicasReleased;
import io.hawthornlb.core.runonce.RunOnceCoordinator;
import io.hawthornlb.core.runonce.RunOnceEvent;
import io.hawthornlb.core.runonce.RunOnceSettings;
import io.hawthornlb.core.runonce.StopPoint;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Objects;
import org.jspecify.annotations.Nullable;

/**
 * Default coordinator of a partition. An instance has one for every partition that it holds or has
 * held.
 */
public final class DefaultRunOnceCoordinator implements RunOnceCoordinator {

  private final PartitionId id;
  private final StreamName stream;
  private final PartitionFold partition;
  private final RunOnceFold fold;
  private final HeldPartition held;
  private final ReplicaTable table;
  private final RecordIdSource ids;
  private final RunOnceSettings settings;
  private final ResentAppends appends = new ResentAppends();
  private final EntryLog log;
  private final Runs runs;
  private final RunOnceMaintenance maintenance;
  private @Nullable HolderTenure tenure;
  private long handledOffset = -1;
  private boolean draining;
  private boolean releaseRequested;

  /**
   * Creates the coordinator of a partition.
   *
   * @param id the partition
   * @param partition the fold of the stream of the partition
   * @param fold the run-once state, which is a section of that fold
   * @param held tells whether this instance holds the partition
   * @param table the entries that this instance keeps as a replica, for all partitions
   * @param ids generates the record ids of this instance
   * @param settings limits and time spans
   */
  public DefaultRunOnceCoordinator(
      PartitionId id,
      PartitionFold partition,
      RunOnceFold fold,
      HeldPartition held,
      ReplicaTable table,
      RecordIdSource ids,
      RunOnceSettings settings) {
    this.id = id;
    this.stream = StreamName.ofPartition(id);
    this.partition = partition;
    this.fold = fold;
    this.held = held;
    this.table = table;
    this.ids = ids;
    this.settings = settings;
    this.log = new EntryLog(settings);
    this.runs = new Runs(id, fold, log, new OutcomeReader(stream), settings);
    this.maintenance = new RunOnceMaintenance(stream, partition, fold, log, settings);
  }

  @Override
  public List<Effect> on(RunOnceEvent event, Instant now) {
    List<Effect> out = new ArrayList<>();
    updateTenure(now, out);
    updateFromLog(now, out);
    dispatch(event, now, out);
    tick(now, out);
    return out;
  }

  @Override
  public boolean drained() {
    boolean released = tenure == null || fold.released();
    return draining && released && runs.empty() && log.empty();
  }

  private void updateTenure(Instant now, List<Effect> out) {
    Claim claim = held.claim().orElse(null);
    Epoch current = claim == null ? null : claim.epoch();
    if (Objects.equals(current, tenure == null ? null : tenure.epoch())) {
      return;
    }
    runs.endTenure(out);
    log.clear();
    appends.clear();
    tenure = null;
    releaseRequested = false;
    if (claim != null) {
      tenure = new HolderTenure(claim, partition, fold, table, ids, settings, appends, log, now);
    }
  }

  private void updateFromLog(Instant now, List<Effect> out) {
    if (tenure == null || partition.nextOffset() == handledOffset) {
      return;
    }
    handledOffset = partition.nextOffset();
    runs.logged(log.advance(fold, now), tenure.client(), now, out);
  }

  private void dispatch(RunOnceEvent event, Instant now, List<Effect> out) {
    if (event instanceof ForwardRunOnce message) {
      forward(message, now, out);
    } else if (event instanceof CallAnswered answer) {
      runs.answered(answer, client(), now, out);
    } else if (event instanceof CallNotStarted answer) {
      runs.notStarted(answer, client(), now, out);
    } else if (event instanceof CallFailed failure) {
      runs.failed(failure, client(), now, out);
    } else if (event instanceof OutcomeRead read) {
      maintenance.read(read, now);
      runs.reader().answer(read, out);
    } else if (event instanceof OutcomeUnreadable read) {
      runs.reader().unreadable(read.offset(), out);
    } else if (event instanceof Drain) {
      draining = true;
    } else if (tenure != null) {
      dispatchAsHolder(event, tenure, now, out);
    }
  }

  private void dispatchAsHolder(
      RunOnceEvent event, HolderTenure current, Instant now, List<Effect> out) {
    if (event instanceof EntriesStored stored && stored.epoch().equals(current.epoch())) {
      runs.stored(stored, current.client(), now, out);
    } else if (event instanceof ReplicaContents contents) {
      current.collected(contents, now, out);
    } else if (event instanceof LateOutcome late) {
      log.add(late.entry(), now);
    }
  }

  private void forward(ForwardRunOnce message, Instant now, List<Effect> out) {
    Waiter waiter = Waiter.of(message);
    boolean current = tenure != null && tenure.epoch().equals(message.epoch());
    if (!current || draining) {
      out.add(waiter.redirected());
      return;
    }
    if (tenure.ready()) {
      runs.take(message, tenure, now, out);
    } else if (tenure.recoveryTooLong(now)) {
      out.add(waiter.stopped(StopPoint.RECOVERING));
    } else {
      out.add(waiter.redirected());
    }
  }

  private void tick(Instant now, List<Effect> out) {
    runs.sweep(client(), now, out);
    runs.sendLate(partition.opened().orElse(null), now, out);
    if (tenure == null) {
      return;
    }
    tenure.tick(now, out);
    if (tenure.ready()) {
      maintenance.tick(now, out);
    }
    Duration delay = tenure.ready() ? runs.logDelay(tenure.client()) : settings.groupDelay();
    log.flush(tenure.epoch(), delay, now).ifPresent(entries -> append(entries, now, out));
    release(tenure, now, out);
    appends.tick(now, out);
  }

  private void append(EntriesRecorded entries, Instant now, List<Effect> out) {
    AppendRecord effect = new AppendRecord(stream, ids.next(), entries);
    appends.add(effect, () -> log.settled(entries.entries()), now, out);
  }

  private void release(HolderTenure current, Instant now, List<Effect> out) {
    boolean idle = draining && current.ready() && runs.empty() && log.empty();
    if (idle && !releaseRequested) {
      releaseRequested = true;
      ReplicasReleased record = new ReplicasReleased(current.epoch());
      appends.add(new AppendRecord(stream, ids.next(), record), fold::released, now, out);
    }
  }

  private @Nullable ReplicaClient client() {
    return tenure == null ? null : tenure.client();
  }
}
