package io.hawthornlb.core.runonce.support;

import io.hawthornlb.core.effect.Effect;
import io.hawthornlb.core.effect.SendPeerMessage;
import io.hawthornlb.core.model.Epoch;
import io.hawthornlb.core.model.InstanceId;
import io.hawthornlb.core.model.PartitionId;
import io.hawthornlb.core.runonce.FenceAndCollect;
import io.hawthornlb.core.runonce.RunOnceEntry;
import io.hawthornlb.core.runonce.WitnessContents;
import io.hawthornlb.core.runonce.WitnessSet;
import io.hawthornlb.core.runonce.WitnessTable;
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
final class WitnessRecovery {

  private final InstanceId self;
  private final PartitionId partition;
  private final Epoch epoch;
  private final WitnessTable table;
  private final Map<Epoch, WitnessSet> unresolved = new LinkedHashMap<>();
  private final Map<Source, List<RunOnceEntry>> collected = new HashMap<>();
  private final Map<Epoch, Set<InstanceId>> delivered = new HashMap<>();
  private Instant askedAt = Instant.MIN;

  WitnessRecovery(
      InstanceId self,
      PartitionId partition,
      Epoch epoch,
      WitnessTable table,
      List<WitnessSet> sets) {
    this.self = self;
    this.partition = partition;
    this.epoch = epoch;
    this.table = table;
    sets.forEach(set -> unresolved.put(set.epoch(), set));
  }

  List<WitnessSet> unresolved() {
    return List.copyOf(unresolved.values());
  }

  /** Collects what this instance keeps itself. */
  List<RunOnceEntry> collectOwn() {
    List<RunOnceEntry> entries = new ArrayList<>();
    for (WitnessSet set : unresolved()) {
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
    for (WitnessSet set : unresolved.values()) {
      set.members().stream()
          .filter(member -> !hasDelivered(member, set.epoch()))
          .forEach(member -> out.add(question(member, set.epoch())));
    }
  }

  /** Takes an answer; returns all entries of a witness once it has handed them over. */
  List<RunOnceEntry> collected(WitnessContents contents, List<Effect> out) {
    WitnessSet set = unresolved.get(contents.oldEpoch());
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

  private void deliver(InstanceId member, WitnessSet set) {
    Set<InstanceId> members = delivered.computeIfAbsent(set.epoch(), id -> new HashSet<>());
    members.add(member);
    if (members.size() > set.tolerance()) {
      unresolved.remove(set.epoch());
    }
  }

  private List<RunOnceEntry> own(Epoch oldEpoch) {
    List<RunOnceEntry> entries = new ArrayList<>();
    WitnessContents page;
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
