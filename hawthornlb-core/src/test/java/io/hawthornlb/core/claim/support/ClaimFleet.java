package io.hawthornlb.core.claim.support;

import io.hawthornlb.core.claim.Claim;
import io.hawthornlb.core.claim.PlacementPolicy;
import io.hawthornlb.core.claim.RenewalRecord;
import io.hawthornlb.core.effect.AppendRecord;
import io.hawthornlb.core.log.LogRecord;
import io.hawthornlb.core.log.RecordIdSource;
import io.hawthornlb.core.model.DataCentre;
import io.hawthornlb.core.model.InstanceId;
import io.hawthornlb.core.model.PartitionId;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Supplier;

/**
 * Fleet of claim managers that share one list of records as their log, with a clock that the test
 * advances.
 */
final class ClaimFleet {

  static final Duration TICK = Duration.ofMillis(250);

  /** One instance, with its own fold and its own read position in the log. */
  final class Node {

    final InstanceId id;
    final DataCentre dataCentre;
    final ClaimFold fold = new ClaimFold(partitions);
    final DefaultClaimManager manager;
    boolean paused;

    private Node(RecordIdSource ids, DataCentre dataCentre) {
      this.id = ids.writer();
      this.dataCentre = dataCentre;
      this.manager =
          new DefaultClaimManager(fold, ids, dataCentre, policies.get(), () -> now, settings);
    }

    void read(int end) {
      while (fold.nextOffset() < end) {
        LogRecord entry = log.get((int) fold.nextOffset());
        fold.apply(entry);
        manager.onRecord(entry);
      }
    }
  }

  private final int partitions;
  private final ClaimSettings settings;
  private final Supplier<PlacementPolicy> policies;
  private final List<LogRecord> log = new ArrayList<>();
  private final List<AppendRecord> waiting = new ArrayList<>();
  private final Map<InstanceId, Node> nodes = new LinkedHashMap<>();
  private final ClaimFold logFold;
  private Instant now = Instant.EPOCH;
  private int started;
  private int renewals;

  boolean logDown;
  String namePrefix = "n-";

  ClaimFleet(int partitions, ClaimSettings settings, Supplier<PlacementPolicy> policies) {
    this.partitions = partitions;
    this.settings = settings;
    this.policies = policies;
    this.logFold = new ClaimFold(partitions);
  }

  Node start(String dataCentre) {
    return start(new InstanceId(namePrefix + started++), dataCentre, 0);
  }

  /**
   * Starts an instance under a name that was used before, and skips the record ids that the earlier
   * process used.
   */
  Node start(InstanceId id, String dataCentre, int usedIds) {
    RecordIdSource ids = new RecordIdSource(id);
    for (int used = 0; used < usedIds; used++) {
      ids.next();
    }
    Node node = new Node(ids, new DataCentre(dataCentre));
    nodes.put(id, node);
    return node;
  }

  void startMany(int count, int dataCentres) {
    for (int i = 0; i < count; i++) {
      start("dc-" + i % dataCentres);
    }
  }

  void kill(Node node) {
    nodes.remove(node.id);
  }

  void stop(Node node) {
    waiting.addAll(node.manager.stop());
  }

  List<Node> nodes() {
    return List.copyOf(nodes.values());
  }

  List<LogRecord> log() {
    return log;
  }

  Instant now() {
    return now;
  }

  int renewals() {
    return renewals;
  }

  /**
   * Appends the records of the last tick, runs each instance that is not paused, and advances the
   * clock. Each instance reads the log and then decides.
   */
  void tick() {
    if (!logDown) {
      waiting.forEach(this::append);
      waiting.clear();
    }
    for (Node node : nodes()) {
      if (!node.paused) {
        if (!logDown) {
          node.read(log.size());
        }
        waiting.addAll(node.manager.onTick());
      }
    }
    now = now.plus(TICK);
  }

  void run(Duration time) {
    for (long left = time.dividedBy(TICK); left > 0; left--) {
      tick();
    }
  }

  Optional<Claim> current(int partition) {
    return logFold.current(new PartitionId(partition));
  }

  /** Returns the number of partitions that have no holder or whose holder is not running. */
  int unheld() {
    int unheld = 0;
    for (int partition = 0; partition < partitions; partition++) {
      unheld += isHeld(partition) ? 0 : 1;
    }
    return unheld;
  }

  boolean isHeld(int partition) {
    return current(partition).filter(claim -> nodes.containsKey(claim.holder())).isPresent();
  }

  List<Optional<InstanceId>> holders() {
    List<Optional<InstanceId>> holders = new ArrayList<>();
    for (int partition = 0; partition < partitions; partition++) {
      holders.add(current(partition).map(Claim::holder));
    }
    return holders;
  }

  private void append(AppendRecord effect) {
    renewals += effect.body() instanceof RenewalRecord ? 1 : 0;
    LogRecord entry = new LogRecord(log.size(), now, effect.id(), effect.body());
    log.add(entry);
    logFold.apply(entry);
  }
}
