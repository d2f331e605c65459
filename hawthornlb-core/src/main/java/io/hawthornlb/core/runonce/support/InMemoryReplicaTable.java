package io.hawthornlb.core.runonce.support;

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
import io.hawthornlb.core.util.Checks;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** Default replica table, which keeps entries in hash maps. The table is confined to one thread. */
public final class InMemoryReplicaTable implements ReplicaTable {

  private static final int PAGE_ENTRIES = 200;
  private static final int ENTRY_BYTES = 256;

  private final InstanceId self;
  private final long maxBytes;
  private final Map<PartitionId, Store> stores = new HashMap<>();
  private int size;
  private long bytes;

  /**
   * Creates an empty table.
   *
   * @param self the instance that is the replica
   * @param maxBytes the maximum memory for all entries together, in bytes
   */
  public InMemoryReplicaTable(InstanceId self, long maxBytes) {
    Checks.isTrue(maxBytes > 0, "max bytes must be positive");
    this.self = self;
    this.maxBytes = maxBytes;
  }

  @Override
  public EntriesStored store(StoreEntries request, Instant now) {
    Store store = stores.computeIfAbsent(request.partition(), id -> new Store());
    if (request.epoch().compareTo(store.fence) < 0) {
      // A successor has already collected the stored entries, so it would miss an entry that is
      // stored now. A paused holder that resumes and sends this request would run what the
      // successor may run as well.
      return reply(request, List.of(), store.fence);
    }
    store.fence = request.epoch();
    dropSettled(store, request.settled());
    Map<RunOnceKey, RunOnceEntry> entries =
        store.epochs.computeIfAbsent(request.epoch(), epoch -> new LinkedHashMap<>());
    List<EntryMark> stored = new ArrayList<>();
    for (RunOnceEntry entry : request.entries()) {
      if (keep(entries, entry)) {
        stored.add(EntryMark.of(entry));
      }
    }
    return reply(request, stored, request.epoch());
  }

  @Override
  public void forget(ForgetEntries message) {
    Store store = stores.get(message.partition());
    if (store == null || message.epoch().compareTo(store.fence) < 0) {
      // A successor collects the entries page by page, so their order must not change meanwhile.
      return;
    }
    Map<RunOnceKey, RunOnceEntry> entries =
        store.epochs.getOrDefault(message.epoch(), new HashMap<>());
    for (EntryMark mark : message.entries()) {
      RunOnceEntry entry = entries.get(mark.key());
      if (entry != null && EntryMark.of(entry).equals(mark)) {
        entries.remove(mark.key());
        count(entry, -1);
      }
    }
  }

  @Override
  public ReplicaContents fence(FenceAndCollect request) {
    Store store = stores.computeIfAbsent(request.partition(), id -> new Store());
    if (store.fence.compareTo(request.epoch()) < 0) {
      store.fence = request.epoch();
    }
    List<RunOnceEntry> entries =
        List.copyOf(store.epochs.getOrDefault(request.oldEpoch(), Map.of()).values());
    int from = Math.min(request.from(), entries.size());
    int end = Math.min(from + PAGE_ENTRIES, entries.size());
    return new ReplicaContents(
        self,
        request.partition(),
        request.epoch(),
        request.oldEpoch(),
        from,
        entries.subList(from, end),
        end < entries.size());
  }

  @Override
  public Epoch fence(PartitionId partition) {
    Store store = stores.get(partition);
    return store == null ? Epoch.NONE : store.fence;
  }

  @Override
  public int size() {
    return size;
  }

  private EntriesStored reply(StoreEntries request, List<EntryMark> stored, Epoch fence) {
    return new EntriesStored(self, request.partition(), request.epoch(), stored, fence);
  }

  private boolean keep(Map<RunOnceKey, RunOnceEntry> entries, RunOnceEntry entry) {
    RunOnceEntry existing = entries.get(entry.key());
    if (existing != null && !entry.supersedes(existing)) {
      return true;
    }
    long added = bytes(entry) - (existing == null ? 0 : bytes(existing));
    if (bytes + added > maxBytes) {
      return false;
    }
    if (existing != null) {
      count(existing, -1);
    }
    entries.put(entry.key(), entry);
    count(entry, 1);
    return true;
  }

  private void dropSettled(Store store, Epoch settled) {
    Map<Epoch, Map<RunOnceKey, RunOnceEntry>> old = store.epochs.headMap(settled, false);
    old.values().forEach(entries -> entries.values().forEach(entry -> count(entry, -1)));
    old.clear();
  }

  private void count(RunOnceEntry entry, int sign) {
    size += sign;
    bytes += sign * bytes(entry);
  }

  private static long bytes(RunOnceEntry entry) {
    return ENTRY_BYTES + entry.result().map(result -> result.body().length()).orElse(0);
  }

  private static final class Store {

    private final TreeMap<Epoch, Map<RunOnceKey, RunOnceEntry>> epochs = new TreeMap<>();
    private Epoch fence = Epoch.NONE;
  }
}
