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
 * Queue of the records of one stream that are not yet confirmed to be in it, in order of arrival.
 *
 * <p>At most one group is in flight at a time, so that no record overtakes an earlier one. A group
 * whose call fails stays at the head of the queue. Safe for use by several threads.
 */
final class StreamQueue {

  private final int capacity;
  private final Map<RecordId, PendingRecord> pending = new LinkedHashMap<>();
  private boolean inFlight;

  StreamQueue(int capacity) {
    this.capacity = capacity;
  }

  /**
   * Adds a record unless one with the same id waits already.
   *
   * @return the waiting record with that id, or empty if the queue is full
   */
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

  /**
   * Returns the next group of records and marks it as in flight until {@link #release()}.
   *
   * <p>The group is empty if another group is in flight or no record waits.
   */
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

  /** Marks the group in flight as finished, so that the next group can be taken. */
  synchronized void release() {
    inFlight = false;
  }

  /** Removes a record and returns the removed record, or empty if it was not waiting. */
  synchronized Optional<PendingRecord> remove(RecordId id) {
    return Optional.ofNullable(pending.remove(id));
  }

  /** Removes and returns the records that were accepted before a time. */
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

  /** Returns the number of waiting records. */
  synchronized int size() {
    return pending.size();
  }
}
