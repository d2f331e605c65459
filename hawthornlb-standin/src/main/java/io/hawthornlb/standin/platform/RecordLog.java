package io.hawthornlb.standin.platform;

import java.time.Instant;
import java.util.List;

/** Append-only streams of records with offsets from 0; each stream exists as soon as named. */
public interface RecordLog {

  /** Appends records in order and returns the offset of the first. */
  long append(String stream, List<byte[]> records);

  /** Returns at most {@code max} records from an offset on; without any, an empty page. */
  Page read(String stream, long from, int max);

  /** A record as stored. */
  record Stored(long offset, Instant appendedAt, byte[] data) {}

  /**
   * Records in order.
   *
   * @param nextOffset where to read on
   * @param firstOffset the lowest offset that is still kept
   * @param expired whether the offset that was asked for is no longer kept
   */
  record Page(List<Stored> records, long nextOffset, long firstOffset, boolean expired) {

    /** Copies the records. */
    public Page {
      records = List.copyOf(records);
    }
  }
}
