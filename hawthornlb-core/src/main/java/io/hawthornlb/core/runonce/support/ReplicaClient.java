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

/** Stores entries at the witnesses of one epoch, this instance among them. */
final class ReplicaClient {

  private final InstanceId self;
  private final PartitionId partition;
  private final Epoch epoch;
  private final ReplicaTable table;
  private final List<InstanceId> witnesses;
  private final int tolerance;
  private Epoch settled;

  ReplicaClient(
      InstanceId self,
      PartitionId partition,
      Epoch epoch,
      ReplicaTable table,
      List<InstanceId> witnesses,
      int tolerance) {
    this.self = self;
    this.partition = partition;
    this.epoch = epoch;
    this.table = table;
    this.witnesses = witnesses;
    this.tolerance = tolerance;
    this.settled = Epoch.NONE;
  }

  /** Says below which epoch every intent stands in the log. */
  void settled(Epoch value) {
    settled = value;
  }

  /** Returns whether intents may be durable at witnesses alone. */
  boolean usable() {
    return !witnesses.isEmpty() && table.fence(partition).compareTo(epoch) <= 0;
  }

  /** Stores an entry here and asks the others to. */
  void store(Run run, Instant now, List<Effect> out) {
    if (!usable()) {
      return;
    }
    StoreEntries question = question(List.of(run.entry()));
    if (!table.store(question, now).stored().isEmpty()) {
      run.acks().add(self);
    }
    witnesses.forEach(witness -> out.add(new SendPeerMessage(witness, question)));
    run.sent(now);
  }

  /** Asks again for entries, those of all runs in one message a witness. */
  void resend(List<Run> runs, Instant now, List<Effect> out) {
    if (runs.isEmpty() || !usable()) {
      return;
    }
    table
        .store(question(runs.stream().map(Run::entry).toList()), now)
        .stored()
        .forEach(mark -> ackOwn(runs, mark));
    for (InstanceId witness : witnesses) {
      List<RunOnceEntry> missing =
          runs.stream().filter(run -> !run.acks().contains(witness)).map(Run::entry).toList();
      if (!missing.isEmpty()) {
        out.add(new SendPeerMessage(witness, question(missing)));
      }
    }
    runs.forEach(run -> run.sent(now));
  }

  /**
   * Returns whether enough members of the set hold the entry.
   *
   * <p>All but for as many as are tolerated, since a successor asks one more than that. The own
   * table counts as one: once a successor has fenced it, an answer of the others that comes late
   * proves nothing any more.
   */
  boolean stored(Run run) {
    int members = witnesses.size() + 1;
    boolean enough = run.acks().size() >= members - tolerance;
    return usable() && run.acks().contains(self) && enough;
  }

  /** Returns whether an instance is a witness of the epoch. */
  boolean isWitness(InstanceId instance) {
    return witnesses.contains(instance);
  }

  /** Lets the witnesses drop entries that stand in the log. */
  void forget(List<RunOnceEntry> entries, List<Effect> out) {
    if (witnesses.isEmpty() || entries.isEmpty()) {
      return;
    }
    List<EntryMark> marks = entries.stream().map(EntryMark::of).toList();
    ForgetEntries message = new ForgetEntries(partition, epoch, marks);
    table.forget(message);
    witnesses.forEach(witness -> out.add(new SendPeerMessage(witness, message)));
  }

  private void ackOwn(List<Run> runs, EntryMark mark) {
    runs.stream()
        .filter(run -> EntryMark.of(run.entry()).equals(mark))
        .forEach(run -> run.acks().add(self));
  }

  private StoreEntries question(List<RunOnceEntry> entries) {
    return new StoreEntries(self, partition, epoch, settled, entries);
  }
}
