package io.hawthornlb.net.platform.support;

import io.hawthornlb.core.log.RecordId;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * The records of one stream that are not yet known to stand in it, in the order of their coming.
 *
 * <p>At most one group is in flight at a time, so that records never overtake each other, and a
 * group that fails stays at the head. Safe for use by several threads.
 */
final class StreamQueue {

  private final int capacity;
  private final Map<RecordId, PendingRecord> pending = new LinkedHashMap<>();
  private boolean inFlight;

  StreamQueue(int capacity) {
    this.capacity = capacity;
  }

  /** Adds a record unless the queue is full; returns the waiting record of that id, if any. */
  synchronized Optional<PendingRecord> offer(PendingRecord entry) {
    PendingRecord waiting = pending.get(entry.id());
    if (waiting != null) {
      return Optional.of(waiting);
    }
    if (pending.size() >= capacity) {
      return Optional.empty();
    }
    pending.put(entry.id(), entry);
    return Optional.of(entry);
  }

  /** Takes the call of this stream and returns its records; empty if it is taken or none waits. */
  synchronized List<PendingRecord> nextGroup(int maxRecords, int maxBytes) {
    List<PendingRecord> group = new ArrayList<>();
    if (inFlight) {
      return group;
    }
    long bytes = 0;
    for (PendingRecord entry : pending.values()) {
      bytes += entry.data().length;
      if (group.size() == maxRecords || (bytes > maxBytes && !group.isEmpty())) {
        break;
      }
      group.add(entry);
    }
    inFlight = !group.isEmpty();
    return group;
  }

  /** Gives the call back; the next group may be taken. */
  synchronized void release() {
    inFlight = false;
  }

  /** Removes a record and returns it if it was waiting. */
  synchronized Optional<PendingRecord> remove(RecordId id) {
    return Optional.ofNullable(pending.remove(id));
  }

  /** Removes and returns the records that came before a time. */
  synchronized List<PendingRecord> removeBefore(Instant time) {
    List<PendingRecord> removed = new ArrayList<>();
    Iterator<PendingRecord> entries = pending.values().iterator();
    while (entries.hasNext()) {
      PendingRecord entry = entries.next();
      if (entry.since().isBefore(time)) {
        entries.remove();
        removed.add(entry);
      }
    }
    return removed;
  }

  /** Returns how many records wait. */
  synchronized int size() {
    return pending.size();
  }
}
