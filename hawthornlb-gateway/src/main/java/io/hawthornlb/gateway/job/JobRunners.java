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

  /**
   * Rank of a process that does not know the fleet yet, so that it takes no partition from others.
   */
  private static final int UNKNOWN_RANK = Integer.MAX_VALUE;

  private static final long NOT_OVERTAKEN = -1;

  private final JobParts parts;
  private final int partitions;
  private final JobReplicas replicas;
  private final JobRequestRouter router;
  private final HoldNotices notices;
  private final String name;
  private final Supplier<OptionalInt> rank;
  private final HolderSelection selection;
  private final JobPeers peers;
  private final Map<Integer, PartitionRunner> runners = new HashMap<>();
  private final Map<Integer, PartitionTakeover> takeovers = new HashMap<>();
  private final Map<Integer, Long> overtakenBy = new HashMap<>();
  private final HoldClaims claims;
  private final HoldRefusals refusals;
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
    this.claims = new HoldClaims(parts);
    this.refusals = new HoldRefusals(parts.log(), parts.metrics(), parts.clock());
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
            this::assignedHere,
            this::lookUpHolders,
            parts.executor(),
            parts.clock(),
            parts.log());
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
   *
   * <p>Only where a process of the former program would be refused in the present generation does
   * this process leave, so that the generation rises.
   */
  public void stop() {
    leaving = true;
    boolean barsFormer =
        runners.values().stream()
            .anyMatch(runner -> EpochSearch.barsFormer(runner.epoch(), generation));
    runners.values().forEach(PartitionRunner::handOver);
    runners.clear();
    takeovers.values().forEach(PartitionTakeover::cancel);
    takeovers.clear();
    if (barsFormer) {
      leaveGroup();
    }
  }

  private void leaveGroup() {
    if (!member) {
      return;
    }
    member = false;
    parts.log().important("job", "group.left").write();
    retain(List.of());
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
    retain(share.partitions());
    share.partitions().forEach(this::hold);
  }

  private void onJoinFailed(Throwable failure) {
    // The runs continue. If another process takes over, the store refuses the appends of this one.
    if (!disconnected) {
      disconnected = true;
      parts.log().important("job", "group.lost").with("cause", failure.getMessage()).write();
    }
  }

  /** Ends the holds and takeovers of all partitions but those that are assigned to this process. */
  private void retain(List<Integer> assigned) {
    List<Integer> removed = new ArrayList<>(runners.keySet());
    removed.removeAll(assigned);
    removed.forEach(this::handOver);
    List<Integer> ended = new ArrayList<>(takeovers.keySet());
    ended.removeAll(assigned);
    ended.forEach(partition -> takeovers.remove(partition).cancel());
    overtakenBy.keySet().retainAll(assigned);
    refusals.retain(assigned);
  }

  private boolean assignedHere(int partition) {
    return runners.containsKey(partition) || takeovers.containsKey(partition);
  }

  private void hold(int partition) {
    if (assignedHere(partition)) {
      return;
    }
    PartitionTakeover.Assignment assignment =
        new PartitionTakeover.Assignment(
            generation, name, overtakenBy.getOrDefault(partition, NOT_OVERTAKEN));
    PartitionTakeover takeover =
        new PartitionTakeover(
            parts, claims, partition, assignment, refusals, new TakeoverOutcome(partition));
    takeovers.put(partition, takeover);
    takeover.start();
  }

  /** Starts the runner of a partition that was taken over. */
  private final class TakeoverOutcome implements PartitionTakeover.Listener {

    private final int partition;

    private TakeoverOutcome(int partition) {
      this.partition = partition;
    }

    @Override
    public void onTaken(HoldClaim claim) {
      takeovers.remove(partition);
      PartitionRunner runner =
          new PartitionRunner(
              parts,
              replicas.replica(partition),
              partition,
              claim,
              notices,
              new RunnerOutcome(partition, claim));
      runners.put(partition, runner);
      runner.start();
    }

    @Override
    public void onOvertaken(long epoch) {
      takeovers.remove(partition);
      router.released(partition);
      overtakenBy.put(partition, epoch);
    }
  }

  /** Forgets the runner of a partition that the store has refused. */
  private final class RunnerOutcome implements PartitionRunner.Listener {

    private final int partition;
    private final HoldClaim claim;

    private RunnerOutcome(int partition, HoldClaim claim) {
      this.partition = partition;
      this.claim = claim;
    }

    @Override
    public void onHeld() {
      refusals.held(partition);
    }

    @Override
    public void onRefused(PartitionRunner refused) {
      // A runner that hands its partition over may be refused after this process holds the
      // partition again with another runner.
      if (runners.remove(partition, refused)) {
        router.released(partition);
        refusals.refused(
            partition, claim.epoch(), claim.generation(), "another process has fenced this one");
      }
    }
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
