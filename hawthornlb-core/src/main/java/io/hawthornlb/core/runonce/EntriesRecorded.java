package io.hawthornlb.core.runonce;

import io.hawthornlb.core.model.Epoch;
import io.hawthornlb.core.partition.PartitionRecord;
import java.util.List;

/**
 * Log record with intents and outcomes that are appended together.
 *
 * <p>The record holds new entries, entries recovered from replicas, and entries that are appended
 * again before the log drops their previous record.
 *
 * @param epoch the epoch of the holder that appends the record
 * @param entries the entries
 */
public record EntriesRecorded(Epoch epoch, List<RunOnceEntry> entries) implements PartitionRecord {

  /** Copies the list of entries. */
  public EntriesRecorded {
    entries = List.copyOf(entries);
  }
}
