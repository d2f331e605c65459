package io.hawthornlb.core.runonce.support;

import io.hawthornlb.core.effect.Effect;
import io.hawthornlb.core.effect.SendPeerMessage;
import io.hawthornlb.core.model.Epoch;
import io.hawthornlb.core.model.InstanceId;
import io.hawthornlb.core.model.PartitionId;
import io.hawthornlb.core.runonce.EntryMark;
import io.hawthornlb.core.runonce.ForgetEntries;
import io.hawthornlb.core.runonce.ReplicaTable;
import io.hawthornlb.core.runonce.RunOnceEntry;
import io.hawthornlb.core.runonce.StoreEntries;
import java.time.Instant;
import java.util.List;

/** Stores entries at the replica set of one epoch, which includes this instance. */
final class ReplicaClient {

  private final InstanceId self;
  private final PartitionId partition;
  private final Epoch epoch;
  private final ReplicaTable table;
  private final List<InstanceId> replicas;
  private final int tolerance;
  private Epoch settled;

  ReplicaClient(
      InstanceId self,
      PartitionId partition,
      Epoch epoch,
      ReplicaTable table,
      List<InstanceId> replicas,
      int tolerance) {
    this.self = self;
    this.partition = partition;
    this.epoch = epoch;
    this.table = table;
    this.replicas = replicas;
    this.tolerance = tolerance;
    this.settled = Epoch.NONE;
  }

  /** Sets the epoch below which every intent is in the log. */
  void settled(Epoch value) {
    settled = value;
  }

  /** Returns whether intents may become durable at replicas alone. */
  boolean usable() {
    return !replicas.isEmpty() && table.fence(partition).compareTo(epoch) <= 0;
  }

  /** Stores the entry of a run in the table of this instance and sends it to the other replicas. */
  void store(Run run, Instant now, List<Effect> out) {
    if (!usable()) {
      return;
    }
    StoreEntries request = storeRequest(List.of(run.entry()));
    if (!table.store(request, now).stored().isEmpty()) {
      run.acks().add(self);
    }
    replicas.forEach(replica -> out.add(new SendPeerMessage(replica, request)));
    run.sent(now);
  }

  /**
   * Sends the entries of several runs again, to each replica in one message with those that it has
   * not acknowledged.
   */
  void resend(List<Run> runs, Instant now, List<Effect> out) {
    if (runs.isEmpty() || !usable()) {
      return;
    }
    table
        .store(storeRequest(runs.stream().map(Run::entry).toList()), now)
        .stored()
        .forEach(mark -> ackOwn(runs, mark));
    for (InstanceId replica : replicas) {
      List<RunOnceEntry> missing =
          runs.stream().filter(run -> !run.acks().contains(replica)).map(Run::entry).toList();
      if (!missing.isEmpty()) {
        out.add(new SendPeerMessage(replica, storeRequest(missing)));
      }
    }
    runs.forEach(run -> run.sent(now));
  }

  /**
   * Returns whether enough members of the replica set keep the entry of a run.
   *
   * <p>All members but {@code tolerance} must keep it, since a successor collects from {@code
   * tolerance + 1} members. The table of this instance must be among them: once a successor has
   * fenced this table, a late acknowledgement of another replica proves nothing.
   */
  boolean stored(Run run) {
    int members = replicas.size() + 1;
    boolean enough = run.acks().size() >= members - tolerance;
    return usable() && run.acks().contains(self) && enough;
  }

  /** Returns whether an instance is a replica of the epoch. */
  boolean isReplica(InstanceId instance) {
    return replicas.contains(instance);
  }

  /** Tells the replicas to drop entries that are in the log. */
  void forget(List<RunOnceEntry> entries, List<Effect> out) {
    if (replicas.isEmpty() || entries.isEmpty()) {
      return;
    }
    List<EntryMark> marks = entries.stream().map(EntryMark::of).toList();
    ForgetEntries message = new ForgetEntries(partition, epoch, marks);
    table.forget(message);
    replicas.forEach(replica -> out.add(new SendPeerMessage(replica, message)));
  }

  private void ackOwn(List<Run> runs, EntryMark mark) {
    runs.stream()
        .filter(run -> EntryMark.of(run.entry()).equals(mark))
        .forEach(run -> run.acks().add(self));
  }

  private StoreEntries storeRequest(List<RunOnceEntry> entries) {
    return new StoreEntries(self, partition, epoch, settled, entries);
  }
}
