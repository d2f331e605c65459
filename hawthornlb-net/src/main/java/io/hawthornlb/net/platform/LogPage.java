package io.hawthornlb.net.platform;

import java.util.List;

/**
 * Records read from one stream.
 *
 * @param records the records in the order of their offsets
 * @param nextOffset the offset at which the next read continues
 * @param firstOffset the first offset that the platform retains
 */
public record LogPage(List<StoredRecord> records, long nextOffset, long firstOffset) {

  /** Copies the records. */
  public LogPage {
    records = List.copyOf(records);
  }
}
