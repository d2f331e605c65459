package io.hawthornlb.gateway.job;

import io.hawthornlb.gateway.decode.UnreadableRecords;
import io.hawthornlb.gateway.store.LogStore.GroupJoin;
import io.hawthornlb.gateway.store.LogStore.GroupShare;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalInt;
import java.util.Set;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import org.jspecify.annotations.Nullable;

/**
 * Joins the group of processes that share the partitions of all jobs, and runs the partitions that
 * this process holds.
 */
public final class JobRunners {

  private static final String GROUP = "runners";

  /**
   * Lease after which a silent process loses its partitions. A process that is restarted joins
   * again within 2 s of its last join and keeps its partitions; two joins may be lost.
   */
  private static final Duration LEASE = Duration.ofMillis(2_500);

  private static final Duration JOIN_EVERY = Duration.ofMillis(600);

  /** Number of epochs within one generation; a restart within a generation uses later ones. */
  private static final long EPOCHS_PER_GENERATION = 10_000_000;

  /**
   * Added to the epoch after a refused fence, so that the next epoch is above the one that caused
   * the refusal.
   */
  private static final long EPOCH_STEP = 1_000;

  /**
   * Rank of a process that does not know the fleet yet, so that it takes no partition from others.
   */
  private static final int UNKNOWN_RANK = Integer.MAX_VALUE;

  private final JobParts parts;
  private final int partitions;
  private final JobReplicas replicas;
  private final JobRequestRouter router;
  private final HoldNotices notices;
  private final String name;
  private final long startEpoch;
  private final Supplier<OptionalInt> rank;
  private final HolderSelection selection;
  private final JobPeers peers;
  private final Map<Integer, PartitionRunner> runners = new HashMap<>();
  private final Map<Integer, Long> epochOffsets = new HashMap<>();
  private final Map<Integer, Long> lastEpochs = new HashMap<>();
  private long generation;
  private boolean member;
  private boolean leaving;
  private boolean disconnected;

  /**
   * Creates the runners of a process.
   *
   * @param rank rank of this process, from 0, among the processes of the fleet that are not
   *     suspected of being silent; empty until the fleet is known
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
    this.selection = new HolderSelection(partitions, peers.self());
    this.peers = peers;
    this.notices = notices;
    notices.onHeld(this::onHeldElsewhere);
    this.name = peers.self();
    this.partitions = partitions;
    this.replicas = new JobReplicas(parts.store(), partitions, parts.executor());
    UnreadableRecords unreadable =
        new UnreadableRecords(parts.log(), parts.clock(), "job", "record.unreadable", "key");
    replicas.onUnreadable(unreadable::report);
    JobService service =
        new JobService(
            replicas, parts.store(), format, parts.executor(), parts.clock(), parts.log());
    this.router =
        new JobRequestRouter(
            replicas,
            service,
            format,
            peers,
            runners::containsKey,
            this::lookUpHolders,
            parts.executor(),
            parts.clock(),
            parts.log());
    // The start epoch counts tenths of a second, so that a process that restarts within a
    // generation gets a higher epoch.
    this.startEpoch = parts.clock().instant().toEpochMilli() / 100 % (EPOCHS_PER_GENERATION / 2);
  }

  /** Returns the router that handles calls about jobs. */
  public JobRequestRouter router() {
    return router;
  }

  /**
   * Joins the group and stays in it as long as {@link HolderSelection} makes this process a member.
   */
  public void start() {
    if (leaving) {
      return;
    }
    Instant now = parts.clock().instant();
    if (selection.lookupDue(peers.instances(), now)) {
      lookUpHolders();
    }
    if (selection.member(rank.get().orElse(UNKNOWN_RANK), now)) {
      member = true;
      join();
    } else {
      leaveGroup();
      scheduleJoin();
    }
  }

  /** Looks up the holders of the partitions, for callers' requests and for the own membership. */
  private CompletionStage<Map<Integer, String>> lookUpHolders() {
    CompletionStage<Map<Integer, String>> found = parts.store().owners(GROUP, JobReplicas.TOPIC);
    found.thenAcceptAsync(
        holders -> selection.holders(Set.copyOf(holders.values()), parts.clock().instant()),
        parts.executor());
    return found;
  }

  private void scheduleJoin() {
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
                onJoined(share);
              } else {
                onJoinFailed(failure);
              }
              scheduleJoin();
            },
            parts.executor());
  }

  /**
   * Records the progress of all items and stops their runs, when this process is about to exit.
   *
   * <p>This process stays in the group until its lease ends. If each process left the group and
   * joined again during a rolling restart, partitions would move twice for each process, and items
   * would be moved more often than they make progress. Therefore a process that is back within its
   * lease finds its partitions as it left them. The partitions of a process that does not come back
   * move when its lease ends.
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
        .whenCompleteAsync((done, failure) -> onLeft(failure), parts.executor());
  }

  private void onLeft(@Nullable Throwable failure) {
    if (failure != null) {
      // No retry is needed, since the lease ends by itself.
      parts.log().important("job", "group.leave.failed").with("cause", failure.toString()).write();
    }
  }

  private void onJoined(GroupShare share) {
    if (disconnected) {
      disconnected = false;
      parts.log().important("job", "group.regained").write();
    }
    if (leaving) {
      return;
    }
    runners.values().forEach(PartitionRunner::onStoreAnswer);
    if (share.generation() != generation) {
      parts
          .log()
          .important("job", "group.changed")
          .with("generation", share.generation())
          .with("partitions", share.partitions().toString())
          .write();
    }
    generation = share.generation();
    List<Integer> removed = new ArrayList<>(runners.keySet());
    removed.removeAll(share.partitions());
    removed.forEach(this::handOver);
    share.partitions().forEach(this::hold);
  }

  private void onJoinFailed(Throwable failure) {
    // The runs continue. If another process takes over, the store refuses the appends of this one.
    if (!disconnected) {
      disconnected = true;
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
            refused -> onRefused(partition, refused));
    runners.put(partition, runner);
    runner.start();
  }

  /**
   * Returns an epoch that this process has not used for a partition.
   *
   * <p>The request to leave the group may be lost, and this process may then hold its partitions
   * again in the same generation. Under its former epoch the store would take its appends for
   * repeats of earlier ones, and confirm them without carrying them out. Therefore each epoch is
   * above the last one.
   */
  private long nextEpoch(int partition) {
    long offset = epochOffsets.getOrDefault(partition, 0L);
    long generationEpoch = generation * EPOCHS_PER_GENERATION + startEpoch + offset;
    long epoch = Math.max(generationEpoch, lastEpochs.getOrDefault(partition, -1L) + 1);
    lastEpochs.put(partition, epoch);
    return epoch;
  }

  private void onRefused(int partition, PartitionRunner refused) {
    // A runner that hands its partition over may be refused after this process holds the partition
    // again with another runner.
    if (runners.remove(partition, refused)) {
      router.released(partition);
    }
    epochOffsets.merge(partition, EPOCH_STEP, Long::sum);
  }

  private void onHeldElsewhere(String holder, int partition, long epoch) {
    if (partition >= partitions) {
      parts
          .log()
          .important("job", "notice.refused")
          .with("instance", holder)
          .with("partition", partition)
          .write();
      return;
    }
    router.onHeld(holder, partition, epoch);
    PartitionRunner runner = runners.get(partition);
    if (runner != null && runner.epoch() < epoch) {
      drop(partition);
    }
  }

  /**
   * Hands a partition and the progress of its items over to the next holder.
   *
   * <p>The next holder learns of the partition when this process joins again, some 600 ms later.
   * Until then no other process may write to the partition, so the store accepts the records of
   * this process.
   */
  private void handOver(int partition) {
    PartitionRunner runner = runners.remove(partition);
    if (runner != null) {
      runner.handOver();
      router.released(partition);
      parts.log().important("job", "partition.handed.over").with("partition", partition).write();
    }
  }

  private void drop(int partition) {
    PartitionRunner runner = runners.remove(partition);
    if (runner != null) {
      runner.abandon();
      router.released(partition);
      parts.log().important("job", "partition.dropped").with("partition", partition).write();
    }
  }
}
