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
 * Collects the parts of snapshots and, while a fold has a gap, the records that follow the gap.
 *
 * @param <P> the type of the parts
 */
final class SnapshotAssembly<P extends SnapshotPart> {

  /** Snapshots that may be under way at once; the one begun first is dropped. */
  private static final int MAX_OPEN = 4;

  private record SnapshotKey(InstanceId writer, long upTo) {}

  private final Map<SnapshotKey, TreeMap<Integer, P>> open = new LinkedHashMap<>();
  private final List<LogRecord> kept = new ArrayList<>();
  private long keptFrom;

  /** Forgets all and keeps records from an offset on. */
  void restart(long firstOffset) {
    open.clear();
    kept.clear();
    keptFrom = firstOffset;
  }

  /** Adds a part; returns all parts of its snapshot once the last has come. */
  Optional<List<P>> add(InstanceId writer, P part) {
    SnapshotKey key = new SnapshotKey(writer, part.upTo());
    TreeMap<Integer, P> parts = open.computeIfAbsent(key, unused -> new TreeMap<>());
    parts.put(part.part(), part);
    if (parts.size() < part.parts()) {
      dropOldest();
      return Optional.empty();
    }
    open.remove(key);
    return Optional.of(List.copyOf(parts.values()));
  }

  /** Keeps a record until a snapshot comes that it can be applied to. */
  void keep(LogRecord entry) {
    kept.add(entry);
  }

  /** Returns whether every record from an offset on is kept. */
  boolean covers(long upTo) {
    return upTo >= keptFrom;
  }

  /** Removes all kept records and returns those from an offset on. */
  List<LogRecord> takeKept(long upTo) {
    List<LogRecord> taken = kept.stream().filter(entry -> entry.offset() >= upTo).toList();
    kept.clear();
    return taken;
  }

  private void dropOldest() {
    if (open.size() > MAX_OPEN) {
      Iterator<SnapshotKey> keys = open.keySet().iterator();
      keys.next();
      keys.remove();
    }
  }
}
