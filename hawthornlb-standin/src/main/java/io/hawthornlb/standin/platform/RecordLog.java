package io.hawthornlb.standin.platform;

import java.time.Instant;
import java.util.List;

/**
 * Append-only streams of records. Offsets start at 0. A stream exists from the first call that
 * names the stream.
 */
public interface RecordLog {

  /** Appends records in order and returns the offset of the first record. */
  long append(String stream, List<byte[]> records);

  /** Returns at most {@code max} records from an offset on, or an empty page if none exist. */
  Page read(String stream, long from, int max);

  /** A stored record. */
  record Stored(long offset, Instant appendedAt, byte[] data) {}

  /**
   * A page of records.
   *
   * @param records the records in order
   * @param nextOffset the offset to continue reading from
   * @param firstOffset the lowest offset that is still kept
   * @param expired whether the requested offset is no longer kept
   */
  record Page(List<Stored> records, long nextOffset, long firstOffset, boolean expired) {

    /** Creates a page with an immutable copy of the records. */
    public Page {
      records = List.copyOf(records);
    }
  }
}
