package io.hawthornlb.core.log.support;

import io.hawthornlb.core.log.LogRecord;
import io.hawthornlb.core.log.SnapshotPart;
import io.hawthornlb.core.model.InstanceId;
import java.util.ArrayList;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;

/**
 * Collects the parts of snapshots and, while a fold has a gap, the records after the gap.
 *
 * @param <P> the type of the parts
 */
final class SnapshotAssembly<P extends SnapshotPart> {

  /**
   * Largest number of incomplete snapshots; beyond it, the snapshot that was begun first is
   * dropped.
   */
  private static final int MAX_INCOMPLETE = 4;

  private record SnapshotKey(InstanceId writer, long upTo) {}

  private final Map<SnapshotKey, TreeMap<Integer, P>> incomplete = new LinkedHashMap<>();
  private final List<LogRecord> kept = new ArrayList<>();
  private long keptFrom;

  /** Discards all parts and records, and keeps records from an offset on. */
  void restart(long firstOffset) {
    incomplete.clear();
    kept.clear();
    keptFrom = firstOffset;
  }

  /**
   * Adds a part. Returns all parts of its snapshot if this part completes it, and empty otherwise.
   */
  Optional<List<P>> add(InstanceId writer, P part) {
    SnapshotKey key = new SnapshotKey(writer, part.upTo());
    TreeMap<Integer, P> parts = incomplete.computeIfAbsent(key, unused -> new TreeMap<>());
    parts.put(part.part(), part);
    if (parts.size() < part.parts()) {
      dropOldest();
      return Optional.empty();
    }
    incomplete.remove(key);
    return Optional.of(List.copyOf(parts.values()));
  }

  /** Keeps a record until a snapshot arrives to which the record can be applied. */
  void keep(LogRecord entry) {
    kept.add(entry);
  }

  /** Returns whether every record from an offset on has been kept. */
  boolean covers(long upTo) {
    return upTo >= keptFrom;
  }

  /** Removes all kept records, and returns those from an offset on. */
  List<LogRecord> takeKept(long upTo) {
    List<LogRecord> taken = kept.stream().filter(entry -> entry.offset() >= upTo).toList();
    kept.clear();
    return taken;
  }

  private void dropOldest() {
    if (incomplete.size() > MAX_INCOMPLETE) {
      Iterator<SnapshotKey> keys = incomplete.keySet().iterator();
      keys.next();
      keys.remove();
    }
  }
}
