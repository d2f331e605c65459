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

/** The witness table with its guard out: it hands over entries but fences nobody. */
final class UnfencedReplicaTable implements ReplicaTable {

  private final InstanceId self;
  private final Map<Epoch, Map<RunOnceKey, RunOnceEntry>> epochs = new HashMap<>();

  UnfencedReplicaTable(InstanceId self) {
    this.self = self;
  }

  @Override
  public EntriesStored store(StoreEntries question, Instant now) {
    Map<RunOnceKey, RunOnceEntry> own =
        epochs.computeIfAbsent(question.epoch(), epoch -> new LinkedHashMap<>());
    question.entries().forEach(entry -> own.put(entry.key(), entry));
    List<EntryMark> marks = question.entries().stream().map(EntryMark::of).toList();
    return new EntriesStored(self, question.partition(), question.epoch(), marks, question.epoch());
  }

  @Override
  public void forget(ForgetEntries message) {}

  @Override
  public ReplicaContents fence(FenceAndCollect question) {
    List<RunOnceEntry> entries =
        List.copyOf(epochs.getOrDefault(question.oldEpoch(), Map.of()).values());
    return new ReplicaContents(
        self,
        question.partition(),
        question.epoch(),
        question.oldEpoch(),
        0,
        question.from() == 0 ? entries : List.of(),
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
