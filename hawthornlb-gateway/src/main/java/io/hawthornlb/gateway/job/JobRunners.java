package io.hawthornlb.gateway.job;

import io.hawthornlb.gateway.front.RequestHandler;
import io.hawthornlb.gateway.store.LogStore.GroupJoin;
import io.hawthornlb.gateway.store.LogStore.GroupShare;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/** Shares the partitions of all jobs among the processes, and runs those of this process. */
public final class JobRunners {

  private static final String GROUP = "runners";

  /** Time after which a silent process loses its partitions; two joins may be lost. */
  private static final Duration LEASE = Duration.ofMillis(2_000);

  private static final Duration JOIN_EVERY = Duration.ofMillis(600);

  /** Time for the last records of a process that leaves; an append takes some 10 ms. */
  private static final Duration HAND_OVER = Duration.ofMillis(50);

  /** Epochs of one generation; restarts within it take later ones. */
  private static final long EPOCHS_PER_GENERATION = 10_000_000;

  /** Added after a refused fence, so that the next epoch is above the one that refused it. */
  private static final long EPOCH_STEP = 1_000;

  private final JobParts parts;
  private final JobReplicas replicas;
  private final JobService service;
  private final HoldNotices notices;
  private final String member;
  private final long startEpoch;
  private final Map<Integer, PartitionRunner> runners = new HashMap<>();
  private final Map<Integer, Long> bumps = new HashMap<>();
  private long generation;
  private boolean leaving;
  private boolean lost;

  /** Creates the runners of a process. */
  public JobRunners(
      JobParts parts, JobFormat format, HoldNotices notices, String member, int partitions) {
    this.parts = parts;
    this.notices = notices;
    notices.onHeld(this::heldElsewhere);
    this.member = member;
    this.replicas = new JobReplicas(parts.store(), partitions, parts.executor());
    this.service =
        new JobService(
            replicas, parts.store(), format, parts.executor(), parts.clock(), parts.log());
    // Tenths of a second: a process that restarts within a generation gets a higher epoch.
    this.startEpoch = parts.clock().instant().toEpochMilli() / 100 % (EPOCHS_PER_GENERATION / 2);
  }

  /** Returns what answers calls about jobs. */
  public RequestHandler calls() {
    return service;
  }

  /** Joins the group and stays in it. */
  public void start() {
    if (leaving) {
      return;
    }
    GroupJoin join = new GroupJoin(GROUP, member, JobReplicas.TOPIC, LEASE, generation);
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
              long millis = JOIN_EVERY.toMillis();
              parts.executor().schedule(this::start, millis, TimeUnit.MILLISECONDS);
            },
            parts.executor());
  }

  /** Hands the partitions to the other processes. */
  public void leave() {
    leaving = true;
    runners.values().forEach(PartitionRunner::handOver);
    runners.clear();
    parts
        .executor()
        .schedule(
            () -> parts.store().leave(GROUP, member), HAND_OVER.toMillis(), TimeUnit.MILLISECONDS);
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
    gone.forEach(this::drop);
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
    long bump = bumps.getOrDefault(partition, 0L);
    long epoch = generation * EPOCHS_PER_GENERATION + startEpoch + bump;
    PartitionRunner runner =
        new PartitionRunner(
            parts,
            replicas.replica(partition),
            partition,
            epoch,
            notices,
            () -> refused(partition));
    runners.put(partition, runner);
    runner.start();
  }

  private void refused(int partition) {
    runners.remove(partition);
    bumps.merge(partition, EPOCH_STEP, Long::sum);
  }

  private void heldElsewhere(int partition, long epoch) {
    PartitionRunner runner = runners.get(partition);
    if (runner != null && runner.epoch() < epoch) {
      drop(partition);
    }
  }

  private void drop(int partition) {
    PartitionRunner runner = runners.remove(partition);
    if (runner != null) {
      runner.stop();
      parts.log().important("job", "partition.dropped").with("partition", partition).write();
    }
  }
}
