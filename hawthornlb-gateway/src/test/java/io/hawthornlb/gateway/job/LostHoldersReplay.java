package io.hawthornlb.gateway.job;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;

/**
 * Replays a fleet that loses processes without a stop signal, which stay listed and keep their
 * ranks, and others that restart. Models the store's group with its leases; the decisions are those
 * of the product.
 */
final class LostHoldersReplay {

  private static final Duration STEP = Duration.ofMillis(100);
  private static final Duration JOIN_EVERY = Duration.ofMillis(600);
  private static final Duration LEASE = Duration.ofMillis(2_500);
  private static final int PARTITIONS = 12;

  private final Random random;
  private final List<Process> processes = new ArrayList<>();
  private final Map<String, Instant> leases = new HashMap<>();
  private Instant now = Instant.EPOCH;
  private long lookups;
  private int joins;

  /** A listed process; its rank counts lost ones as well. */
  private final class Process {

    private final int rank;
    private final String name;
    private HolderSelection selection;
    private Instant nextJoin;
    private boolean lost;

    private Process(int rank) {
      this.rank = rank;
      this.name = "g" + rank;
      start();
    }

    private void start() {
      selection = new HolderSelection(PARTITIONS, name);
      nextJoin = now.plusMillis(random.nextInt((int) JOIN_EVERY.toMillis()));
    }

    private void step() {
      if (lost || now.isBefore(nextJoin)) {
        return;
      }
      nextJoin = now.plus(JOIN_EVERY);
      if (selection.lookupDue(processes.size(), now)) {
        lookups++;
        selection.holders(holders(), now);
      }
      if (selection.member(rank, now)) {
        joins += leases.put(name, now.plus(LEASE)) == null ? 1 : 0;
      } else {
        leases.remove(name);
      }
    }
  }

  LostHoldersReplay(long seed, int size) {
    random = new Random(seed);
    for (int rank = 0; rank < size; rank++) {
      processes.add(new Process(rank));
    }
    advance(Duration.ofSeconds(20));
  }

  /** Advances the time. */
  void advance(Duration time) {
    Instant end = now.plus(time);
    while (now.isBefore(end)) {
      now = now.plus(STEP);
      leases.values().removeIf(until -> until.isBefore(now));
      processes.forEach(Process::step);
    }
  }

  /** Loses the processes of the lowest ranks for good, and some others. */
  void lose(int lowest, double shareOfOthers) {
    for (Process each : processes) {
      each.lost |= each.rank < lowest || random.nextDouble() < shareOfOthers;
    }
  }

  /** Restarts a process; its lease goes on. */
  void restart(int rank) {
    processes.get(rank).start();
  }

  /** Returns the names of the processes that hold partitions. */
  Set<String> holders() {
    return new HashSet<>(leases.keySet().stream().sorted().limit(PARTITIONS).toList());
  }

  /** Returns how many processes are left. */
  long left() {
    return processes.stream().filter(each -> !each.lost).count();
  }

  /** Returns how often a process has joined the group since the last call. */
  int newJoins() {
    int count = joins;
    joins = 0;
    return count;
  }

  /** Returns the number of lookups of holders since the last call. */
  long newLookups() {
    long count = lookups;
    lookups = 0;
    return count;
  }
}
