package io.hawthornlb.net.platform.support;

import io.hawthornlb.core.util.Checks;
import io.hawthornlb.net.platform.LogPage;
import io.hawthornlb.net.platform.StoredRecord;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;

/**
 * Cache of the last records read from one stream, kept for peers that lack them.
 *
 * <p>The cache is bounded by record count and bytes, and evicts the oldest records first. Safe for
 * use by several threads.
 */
public final class RecentRecords {

  private final int maxRecords;
  private final long maxBytes;
  private final Deque<StoredRecord> records = new ArrayDeque<>();
  private long bytes;

  /** Creates an empty cache. */
  public RecentRecords(int maxRecords, long maxBytes) {
    Checks.isTrue(maxRecords > 0, "max records must be positive");
    Checks.isTrue(maxBytes > 0, "max bytes must be positive");
    this.maxRecords = maxRecords;
    this.maxBytes = maxBytes;
  }

  /** Adds the next record. If offsets are missing before it, drops all earlier records. */
  public synchronized void add(StoredRecord entry) {
    if (!records.isEmpty() && entry.offset() != nextOffset()) {
      records.clear();
      bytes = 0;
    }
    records.addLast(entry);
    bytes += entry.data().length;
    while (records.size() > maxRecords || (bytes > maxBytes && records.size() > 1)) {
      bytes -= records.removeFirst().data().length;
    }
  }

  /**
   * Returns consecutive records, starting at an offset or at the first cached one if it is higher.
   */
  public synchronized LogPage from(long offset, int max) {
    if (records.isEmpty() || offset >= nextOffset()) {
      return new LogPage(List.of(), offset, offset);
    }
    long first = records.getFirst().offset();
    List<StoredRecord> page =
        records.stream().filter(entry -> entry.offset() >= offset).limit(max).toList();
    return new LogPage(page, page.get(page.size() - 1).offset() + 1, first);
  }

  private long nextOffset() {
    return records.getLast().offset() + 1;
  }
}
