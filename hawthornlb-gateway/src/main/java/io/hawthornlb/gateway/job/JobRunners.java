package io.hawthornlb.gateway.job;

import io.hawthornlb.gateway.decode.UnreadableRecords;
import io.hawthornlb.gateway.store.LogStore.GroupJoin;
import io.hawthornlb.gateway.store.LogStore.GroupShare;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalInt;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import org.jspecify.annotations.Nullable;

/** Shares the partitions of all jobs among the processes, and runs those of this process. */
public final class JobRunners {

  private static final String GROUP = "runners";

  /**
   * Time after which a silent process loses its partitions. A process that is restarted is back
   * within 2 s of its last join and keeps them; two joins may be lost.
   */
  private static final Duration LEASE = Duration.ofMillis(2_500);

  private static final Duration JOIN_EVERY = Duration.ofMillis(600);

  /** Epochs of one generation; restarts within it take later ones. */
  private static final long EPOCHS_PER_GENERATION = 10_000_000;

  /** Added after a refused fence, so that the next epoch is above the one that refused it. */
  private static final long EPOCH_STEP = 1_000;

  /** Rank of a process that does not know the fleet yet: it takes nothing from others. */
  private static final int UNKNOWN_RANK = Integer.MAX_VALUE;

  private final JobParts parts;
  private final int partitions;
  private final JobReplicas replicas;
  private final JobDesk desk;
  private final HoldNotices notices;
  private final String name;
  private final long startEpoch;
  private final Supplier<OptionalInt> rank;
  private final HolderSelection selection;
  private final Map<Integer, PartitionRunner> runners = new HashMap<>();
  private final Map<Integer, Long> bumps = new HashMap<>();
  private final Map<Integer, Long> lastEpochs = new HashMap<>();
  private long generation;
  private boolean member;
  private boolean leaving;
  private boolean lost;

  /**
   * Creates the runners of a process.
   *
   * @param rank place of this process among those of the fleet that do not seem silent, from 0;
   *     empty until the fleet is known
   */
  public JobRunners(
      JobParts parts,
      JobFormat format,
      HoldNotices notices,
      JobPeers peers,
      int partitions,
      Supplier<OptionalInt> rank) {
    this.parts = parts;
    this.rank = rank;
    this.selection = new HolderSelection(partitions);
    this.notices = notices;
    notices.onHeld(this::heldElsewhere);
    this.name = peers.self();
    this.partitions = partitions;
    this.replicas = new JobReplicas(parts.store(), partitions, parts.executor());
    UnreadableRecords unreadable =
        new UnreadableRecords(parts.log(), parts.clock(), "job", "record.unreadable", "key");
    replicas.onUnreadable(unreadable::report);
    JobService service =
        new JobService(
            replicas, parts.store(), format, parts.executor(), parts.clock(), parts.log());
    this.desk =
        new JobDesk(
            replicas,
            service,
            format,
            peers,
            runners::containsKey,
            () -> parts.store().owners(GROUP, JobReplicas.TOPIC),
            parts.executor(),
            parts.clock(),
            parts.log());
    // Tenths of a second: a process that restarts within a generation gets a higher epoch.
    this.startEpoch = parts.clock().instant().toEpochMilli() / 100 % (EPOCHS_PER_GENERATION / 2);
  }

  /** Returns what answers calls about jobs. */
  public JobDesk calls() {
    return desk;
  }

  /** Joins the group and stays in it, as long as this process is to be a member. */
  public void start() {
    if (leaving) {
      return;
    }
    if (selection.member(rank.get().orElse(UNKNOWN_RANK), parts.clock().instant())) {
      member = true;
      join();
    } else {
      leaveGroup();
      startAgain();
    }
  }

  private void startAgain() {
    parts.executor().schedule(this::start, JOIN_EVERY.toMillis(), TimeUnit.MILLISECONDS);
  }

  private void join() {
    GroupJoin join = new GroupJoin(GROUP, name, JobReplicas.TOPIC, LEASE, generation);
    parts
        .store()
        .join(join)
        .whenCompleteAsync(
            (share, failure) -> {
              if (failure == null) {
                joined(share);
              } else {
                joinFailed(failure);
              }
              startAgain();
            },
            parts.executor());
  }

  /**
   * Records what all items have gained and ends their runs; for a process that ends by itself.
   *
   * <p>It stays in the group until its lease ends. Failure: processes are restarted in turn, and
   * each leaves and joins, so that partitions move twice for each. It shows as items that are moved
   * more often than they get ahead. Guard: a process that is back within its lease finds its
   * partitions as it left them; those of one that does not come back move when the lease ends.
   */
  public void stop() {
    leaving = true;
    runners.values().forEach(PartitionRunner::handOver);
    runners.clear();
  }

  private void leaveGroup() {
    if (!member) {
      return;
    }
    member = false;
    parts.log().important("job", "group.left").write();
    List.copyOf(runners.keySet()).forEach(this::handOver);
    parts
        .store()
        .leave(GROUP, name)
        .whenCompleteAsync((done, failure) -> left(failure), parts.executor());
  }

  private void left(@Nullable Throwable failure) {
    if (failure != null) {
      // The lease ends by itself.
      parts.log().important("job", "group.leave.failed").with("cause", failure.toString()).write();
    }
  }

  private void joined(GroupShare share) {
    if (lost) {
      lost = false;
      parts.log().important("job", "group.regained").write();
    }
    if (leaving) {
      return;
    }
    if (share.generation() != generation) {
      parts
          .log()
          .important("job", "group.changed")
          .with("generation", share.generation())
          .with("partitions", share.partitions().toString())
          .write();
    }
    generation = share.generation();
    List<Integer> gone = new ArrayList<>(runners.keySet());
    gone.removeAll(share.partitions());
    gone.forEach(this::handOver);
    share.partitions().forEach(this::hold);
  }

  private void joinFailed(Throwable failure) {
    // Runs go on: should another process take over, the store refuses what this one writes.
    if (!lost) {
      lost = true;
      parts.log().important("job", "group.lost").with("cause", failure.getMessage()).write();
    }
  }

  private void hold(int partition) {
    if (runners.containsKey(partition)) {
      return;
    }
    long epoch = nextEpoch(partition);
    PartitionRunner runner =
        new PartitionRunner(
            parts,
            replicas.replica(partition),
            partition,
            epoch,
            notices,
            refused -> refused(partition, refused));
    runners.put(partition, runner);
    runner.start();
  }

  /**
   * Returns an epoch that this process has not had for a partition.
   *
   * <p>Failure: a leave does not arrive, and the process holds its partitions anew in the same
   * generation. Under its former epoch the store would take its appends for repeats of earlier
   * ones, and answer them as done. Guard: each epoch is above the last one.
   */
  private long nextEpoch(int partition) {
    long bump = bumps.getOrDefault(partition, 0L);
    long ofGeneration = generation * EPOCHS_PER_GENERATION + startEpoch + bump;
    long epoch = Math.max(ofGeneration, lastEpochs.getOrDefault(partition, -1L) + 1);
    lastEpochs.put(partition, epoch);
    return epoch;
  }

  private void refused(int partition, PartitionRunner refused) {
    // One that hands its partition over may be refused after this process holds it anew.
    if (runners.remove(partition, refused)) {
      desk.released(partition);
    }
    bumps.merge(partition, EPOCH_STEP, Long::sum);
  }

  private void heldElsewhere(String holder, int partition, long epoch) {
    if (partition >= partitions) {
      parts
          .log()
          .important("job", "notice.refused")
          .with("instance", holder)
          .with("partition", partition)
          .write();
      return;
    }
    desk.held(holder, partition, epoch);
    PartitionRunner runner = runners.get(partition);
    if (runner != null && runner.epoch() < epoch) {
      drop(partition);
    }
  }

  /**
   * Hands a partition to its next holder, with what items have gained.
   *
   * <p>The next holder is told of it once this process joins again, some 600 ms later; until then
   * nobody else may write to it, so that the records of this process are taken.
   */
  private void handOver(int partition) {
    PartitionRunner runner = runners.remove(partition);
    if (runner != null) {
      runner.handOver();
      desk.released(partition);
      parts.log().important("job", "partition.handed.over").with("partition", partition).write();
    }
  }

  private void drop(int partition) {
    PartitionRunner runner = runners.remove(partition);
    if (runner != null) {
      runner.giveUp();
      desk.released(partition);
      parts.log().important("job", "partition.dropped").with("partition", partition).write();
    }
  }
}
