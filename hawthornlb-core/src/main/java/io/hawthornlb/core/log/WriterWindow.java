package io.hawthornlb.core.log;

import io.hawthornlb.core.model.InstanceId;
import java.util.List;

/**
 * Sequence numbers of the last records of one writer in one stream, kept to recognize duplicates.
 *
 * @param writer the writer
 * @param floor the highest sequence number that is no longer kept, or -1 if there is none; this
 *     number and all lower ones count as duplicates
 * @param sequences the sequence numbers above the floor that were applied, ascending
 */
public record WriterWindow(InstanceId writer, long floor, List<Long> sequences) {

  /** Copies the sequence numbers. */
  public WriterWindow {
    sequences = List.copyOf(sequences);
  }
}
