package io.hawthornlb.core.runonce;

import io.hawthornlb.core.model.Epoch;
import io.hawthornlb.core.partition.PartitionRecord;
import java.util.List;

/**
 * Intents and outcomes in one append: new ones, those recovered from witnesses, and those repeated
 * before they expire in the log.
 *
 * @param epoch the epoch of the holder
 * @param entries the attempts
 */
public record EntriesRecorded(Epoch epoch, List<RunOnceEntry> entries) implements PartitionRecord {

  /** Copies the entries. */
  public EntriesRecorded {
    entries = List.copyOf(entries);
  }
}
