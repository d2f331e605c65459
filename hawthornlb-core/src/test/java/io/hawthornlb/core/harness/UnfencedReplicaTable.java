package io.hawthornlb.core.harness;

import io.hawthornlb.core.model.Epoch;
import io.hawthornlb.core.model.InstanceId;
import io.hawthornlb.core.model.PartitionId;
import io.hawthornlb.core.runonce.EntriesStored;
import io.hawthornlb.core.runonce.EntryMark;
import io.hawthornlb.core.runonce.FenceAndCollect;
import io.hawthornlb.core.runonce.ForgetEntries;
import io.hawthornlb.core.runonce.ReplicaContents;
import io.hawthornlb.core.runonce.ReplicaTable;
import io.hawthornlb.core.runonce.RunOnceEntry;
import io.hawthornlb.core.runonce.RunOnceKey;
import io.hawthornlb.core.runonce.StoreEntries;
import java.time.Instant;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Replica table without fencing: it returns the entries of old epochs but still accepts new ones
 * for them.
 */
final class UnfencedReplicaTable implements ReplicaTable {

  private final InstanceId self;
  private final Map<Epoch, Map<RunOnceKey, RunOnceEntry>> epochs = new HashMap<>();

  UnfencedReplicaTable(InstanceId self) {
    this.self = self;
  }

  @Override
  public EntriesStored store(StoreEntries request, Instant now) {
    Map<RunOnceKey, RunOnceEntry> own =
        epochs.computeIfAbsent(request.epoch(), epoch -> new LinkedHashMap<>());
    request.entries().forEach(entry -> own.put(entry.key(), entry));
    List<EntryMark> marks = request.entries().stream().map(EntryMark::of).toList();
    return new EntriesStored(self, request.partition(), request.epoch(), marks, request.epoch());
  }

  @Override
  public void forget(ForgetEntries message) {}

  @Override
  public ReplicaContents fence(FenceAndCollect request) {
    List<RunOnceEntry> entries =
        List.copyOf(epochs.getOrDefault(request.oldEpoch(), Map.of()).values());
    return new ReplicaContents(
        self,
        request.partition(),
        request.epoch(),
        request.oldEpoch(),
        0,
        request.from() == 0 ? entries : List.of(),
        false);
  }

  @Override
  public Epoch fence(PartitionId partition) {
    return Epoch.NONE;
  }

  @Override
  public int size() {
    return epochs.values().stream().mapToInt(Map::size).sum();
  }
}
