package io.hawthornlb.core.log;

import io.hawthornlb.core.model.InstanceId;
import java.util.List;

/**
 * The last records of one writer in one stream.
 *
 * @param writer the writer
 * @param floor the highest sequence that is no longer kept, or -1; lower ones count as duplicates
 * @param sequences the sequences above the floor that were applied, ascending
 */
public record WriterWindow(InstanceId writer, long floor, List<Long> sequences) {

  /** Copies the sequences. */
  public WriterWindow {
    sequences = List.copyOf(sequences);
  }
}
