package io.hawthornlb.standin.platform.support;

import io.hawthornlb.standin.platform.RecordLog;
import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** A {@link RecordLog} in memory, limited by age and number of records. Thread-safe. */
public final class InMemoryRecordLog implements RecordLog {

  private static final int COMPACT_AT = 1_024;

  private final Duration retention;
  private final int maxRecords;
  private final InstantSource clock;
  private final Map<String, Stream> streams = new HashMap<>();

  /**
   * Creates an empty log that keeps the records of a stream for {@code retention}, and at most
   * {@code maxRecords} of them.
   */
  public InMemoryRecordLog(Duration retention, int maxRecords, InstantSource clock) {
    this.retention = retention;
    this.maxRecords = maxRecords;
    this.clock = clock;
  }

  @Override
  public synchronized long append(String name, List<byte[]> records) {
    Stream stream = stream(name);
    Instant now = clock.instant();
    long first = stream.next;
    for (byte[] data : records) {
      stream.kept.add(new Stored(stream.next++, now, data));
    }
    stream.expire(now);
    return first;
  }

  @Override
  public synchronized Page read(String name, long from, int max) {
    Stream stream = stream(name);
    stream.expire(clock.instant());
    long first = stream.firstOffset();
    if (from < first) {
      return new Page(List.of(), first, first, true);
    }
    int start = (int) Math.min(from - first, stream.size());
    int end = Math.min(start + max, stream.size());
    List<Stored> records = stream.kept.subList(stream.expired + start, stream.expired + end);
    long next = records.isEmpty() ? from : first + end;
    return new Page(records, next, first, false);
  }

  private Stream stream(String name) {
    return streams.computeIfAbsent(name, unused -> new Stream());
  }

  /**
   * The records of one stream. Expired records stay at the head of the list until the list is
   * compacted, which happens when at least {@link #COMPACT_AT} records, and more than half of the
   * list, have expired.
   */
  private final class Stream {

    private final List<Stored> kept = new ArrayList<>();
    private int expired;
    private long next;

    int size() {
      return kept.size() - expired;
    }

    long firstOffset() {
      return next - size();
    }

    void expire(Instant now) {
      Instant oldestKept = now.minus(retention);
      while (size() > maxRecords || (size() > 0 && oldest().appendedAt().isBefore(oldestKept))) {
        expired++;
      }
      if (expired >= COMPACT_AT && expired > size()) {
        kept.subList(0, expired).clear();
        expired = 0;
      }
    }

    private Stored oldest() {
      return kept.get(expired);
    }
  }
}
