package io.hawthornlb.core.runonce.support;

import io.hawthornlb.core.effect.Effect;
import io.hawthornlb.core.effect.SendPeerMessage;
import io.hawthornlb.core.model.Epoch;
import io.hawthornlb.core.model.InstanceId;
import io.hawthornlb.core.model.PartitionId;
import io.hawthornlb.core.runonce.FenceAndCollect;
import io.hawthornlb.core.runonce.ReplicaContents;
import io.hawthornlb.core.runonce.ReplicaSet;
import io.hawthornlb.core.runonce.ReplicaTable;
import io.hawthornlb.core.runonce.RunOnceEntry;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/** Fences the witnesses of earlier epochs and collects from enough of each epoch what they keep. */
final class ReplicaRecovery {

  private final InstanceId self;
  private final PartitionId partition;
  private final Epoch epoch;
  private final ReplicaTable table;
  private final Map<Epoch, ReplicaSet> unresolved = new LinkedHashMap<>();
  private final Map<Source, List<RunOnceEntry>> collected = new HashMap<>();
  private final Map<Epoch, Set<InstanceId>> delivered = new HashMap<>();
  private Instant askedAt = Instant.MIN;

  ReplicaRecovery(
      InstanceId self,
      PartitionId partition,
      Epoch epoch,
      ReplicaTable table,
      List<ReplicaSet> sets) {
    this.self = self;
    this.partition = partition;
    this.epoch = epoch;
    this.table = table;
    sets.forEach(set -> unresolved.put(set.epoch(), set));
  }

  List<ReplicaSet> unresolved() {
    return List.copyOf(unresolved.values());
  }

  /** Collects what this instance keeps itself. */
  List<RunOnceEntry> collectOwn() {
    List<RunOnceEntry> entries = new ArrayList<>();
    for (ReplicaSet set : unresolved()) {
      if (set.members().contains(self) && !hasDelivered(self, set.epoch())) {
        entries.addAll(own(set.epoch()));
        deliver(self, set);
      }
    }
    return entries;
  }

  /** Asks the members of the unresolved sets, again after an interval. */
  void ask(Duration interval, Instant now, List<Effect> out) {
    if (askedAt != Instant.MIN && askedAt.plus(interval).isAfter(now)) {
      return;
    }
    askedAt = now;
    for (ReplicaSet set : unresolved.values()) {
      set.members().stream()
          .filter(member -> !hasDelivered(member, set.epoch()))
          .forEach(member -> out.add(question(member, set.epoch())));
    }
  }

  /** Takes an answer; returns all entries of a witness once it has handed them over. */
  List<RunOnceEntry> collected(ReplicaContents contents, List<Effect> out) {
    ReplicaSet set = unresolved.get(contents.oldEpoch());
    boolean asked = set != null && set.members().contains(contents.witness());
    if (!asked || !contents.epoch().equals(epoch)) {
      return List.of();
    }
    Source source = new Source(contents.witness(), contents.oldEpoch());
    List<RunOnceEntry> entries = collected.computeIfAbsent(source, key -> new ArrayList<>());
    boolean known = hasDelivered(contents.witness(), contents.oldEpoch());
    if (known || contents.from() != entries.size()) {
      return List.of();
    }
    entries.addAll(contents.entries());
    if (contents.more()) {
      out.add(question(contents.witness(), contents.oldEpoch()));
      return List.of();
    }
    deliver(contents.witness(), set);
    return entries;
  }

  private boolean hasDelivered(InstanceId member, Epoch oldEpoch) {
    return delivered.getOrDefault(oldEpoch, Set.of()).contains(member);
  }

  private void deliver(InstanceId member, ReplicaSet set) {
    Set<InstanceId> members = delivered.computeIfAbsent(set.epoch(), id -> new HashSet<>());
    members.add(member);
    if (members.size() > set.tolerance()) {
      unresolved.remove(set.epoch());
    }
  }

  private List<RunOnceEntry> own(Epoch oldEpoch) {
    List<RunOnceEntry> entries = new ArrayList<>();
    ReplicaContents page;
    do {
      page = table.fence(new FenceAndCollect(self, partition, epoch, oldEpoch, entries.size()));
      entries.addAll(page.entries());
    } while (page.more());
    return entries;
  }

  private Effect question(InstanceId member, Epoch oldEpoch) {
    int from = collected.getOrDefault(new Source(member, oldEpoch), List.of()).size();
    return new SendPeerMessage(member, new FenceAndCollect(self, partition, epoch, oldEpoch, from));
  }

  private record Source(InstanceId member, Epoch epoch) {}
}
