package io.hawthornlb.gateway.job;

import io.hawthornlb.gateway.store.LogStore.KeyedRecord;
import java.util.ArrayList;
import java.util.List;

/**
 * Keeps appends below what the store takes in one call.
 *
 * <p>Failure: the store is away for seconds, many items end meanwhile, and their results are more
 * than it takes at once. It shows as an append that is refused for good, and no item of the
 * partition is ever listed again. Guard: what is more goes with the next append.
 */
final class AppendSize {

  /** Bytes of an append from which on no record is added; a store takes 2 MiB a call. */
  private static final int MAX_BYTES = 1024 * 1024;

  /** Bytes that frame a record: its length, the length of the key, and the key. */
  private static final int FRAME_BYTES = 5;

  private int bytes;

  /** Counts records; returns whether further ones may be added. */
  boolean add(List<KeyedRecord> records) {
    for (KeyedRecord record : records) {
      byte[] value = record.value();
      bytes += FRAME_BYTES + record.key().length() + (value == null ? 0 : value.length);
    }
    return bytes < MAX_BYTES;
  }

  /** Returns records in as many parts as they need, in their order. */
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
