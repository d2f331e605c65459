package io.hawthornlb.gateway.job;

import io.hawthornlb.gateway.store.LogStore.KeyedRecord;
import java.util.ArrayList;
import java.util.List;

/**
 * Bounds the size of appends, so that the store accepts each of them in one call.
 *
 * <p>If the store is unavailable for seconds while many items complete, the results together exceed
 * the store's limit for one call. The store would refuse such an append on every retry, and no item
 * of the partition would ever get its result into the log. Records beyond the bound therefore go
 * with the next append.
 */
final class AppendSize {

  /**
   * Number of bytes from which on no further record is added to an append; the store accepts 2 MiB
   * a call.
   */
  private static final int MAX_BYTES = 1024 * 1024;

  /** Framing overhead of a record in bytes: its length, the length of its key, and the key. */
  private static final int FRAME_BYTES = 5;

  private int bytes;

  /** Adds the size of records; returns whether the append has room for further records. */
  boolean add(List<KeyedRecord> records) {
    for (KeyedRecord record : records) {
      byte[] value = record.value();
      bytes += FRAME_BYTES + record.key().length() + (value == null ? 0 : value.length);
    }
    return bytes < MAX_BYTES;
  }

  /** Splits records into as many appends as they need, in their order. */
  static List<List<KeyedRecord>> parts(List<KeyedRecord> records) {
    List<List<KeyedRecord>> parts = new ArrayList<>();
    List<KeyedRecord> part = new ArrayList<>();
    AppendSize size = new AppendSize();
    for (KeyedRecord record : records) {
      part.add(record);
      if (!size.add(List.of(record))) {
        parts.add(part);
        part = new ArrayList<>();
        size = new AppendSize();
      }
    }
    if (!part.isEmpty()) {
      parts.add(part);
    }
    return parts;
  }
}
