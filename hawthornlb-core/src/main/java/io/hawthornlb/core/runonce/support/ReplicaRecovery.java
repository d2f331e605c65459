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

/**
 * Fences the replicas of earlier epochs and collects their entries from enough members of each
 * replica set.
 */
final class ReplicaRecovery {

  private final InstanceId self;
  private final PartitionId partition;
  private final Epoch epoch;
  private final ReplicaTable table;
  private final Map<Epoch, ReplicaSet> unresolved = new LinkedHashMap<>();
  private final Map<Source, List<RunOnceEntry>> collected = new HashMap<>();
  private final Map<Epoch, Set<InstanceId>> delivered = new HashMap<>();
  private Instant requestedAt = Instant.MIN;

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

  /** Collects the entries that this instance keeps as a replica of earlier epochs. */
  List<RunOnceEntry> collectOwn() {
    List<RunOnceEntry> entries = new ArrayList<>();
    for (ReplicaSet set : unresolved()) {
      if (set.members().contains(self) && !hasDelivered(self, set.epoch())) {
        entries.addAll(collectFromTable(set.epoch()));
        markDelivered(self, set);
      }
    }
    return entries;
  }

  /**
   * Requests the entries of the unresolved replica sets from their members, and repeats the
   * requests after an interval.
   */
  void requestContents(Duration interval, Instant now, List<Effect> out) {
    if (requestedAt != Instant.MIN && requestedAt.plus(interval).isAfter(now)) {
      return;
    }
    requestedAt = now;
    for (ReplicaSet set : unresolved.values()) {
      set.members().stream()
          .filter(member -> !hasDelivered(member, set.epoch()))
          .forEach(member -> out.add(fenceRequest(member, set.epoch())));
    }
  }

  /**
   * Handles one page of a replica. Returns all entries of the replica after its last page, or an
   * empty list before.
   */
  List<RunOnceEntry> collected(ReplicaContents contents, List<Effect> out) {
    ReplicaSet set = unresolved.get(contents.oldEpoch());
    boolean expected = set != null && set.members().contains(contents.witness());
    if (!expected || !contents.epoch().equals(epoch)) {
      return List.of();
    }
    Source source = new Source(contents.witness(), contents.oldEpoch());
    List<RunOnceEntry> entries = collected.computeIfAbsent(source, key -> new ArrayList<>());
    boolean alreadyDelivered = hasDelivered(contents.witness(), contents.oldEpoch());
    if (alreadyDelivered || contents.from() != entries.size()) {
      return List.of();
    }
    entries.addAll(contents.entries());
    if (contents.more()) {
      out.add(fenceRequest(contents.witness(), contents.oldEpoch()));
      return List.of();
    }
    markDelivered(contents.witness(), set);
    return entries;
  }

  private boolean hasDelivered(InstanceId member, Epoch oldEpoch) {
    return delivered.getOrDefault(oldEpoch, Set.of()).contains(member);
  }

  private void markDelivered(InstanceId member, ReplicaSet set) {
    Set<InstanceId> members = delivered.computeIfAbsent(set.epoch(), id -> new HashSet<>());
    members.add(member);
    if (members.size() > set.tolerance()) {
      unresolved.remove(set.epoch());
    }
  }

  private List<RunOnceEntry> collectFromTable(Epoch oldEpoch) {
    List<RunOnceEntry> entries = new ArrayList<>();
    ReplicaContents page;
    do {
      page = table.fence(new FenceAndCollect(self, partition, epoch, oldEpoch, entries.size()));
      entries.addAll(page.entries());
    } while (page.more());
    return entries;
  }

  private Effect fenceRequest(InstanceId member, Epoch oldEpoch) {
    int from = collected.getOrDefault(new Source(member, oldEpoch), List.of()).size();
    return new SendPeerMessage(member, new FenceAndCollect(self, partition, epoch, oldEpoch, from));
  }

  private record Source(InstanceId member, Epoch epoch) {}
}
