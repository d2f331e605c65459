package io.hawthornlb.standin.platform.support;

import io.hawthornlb.standin.platform.RecordLog;
import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** Keeps streams in memory, limited by age and count; safe for use by many threads. */
public final class InMemoryRecordLog implements RecordLog {

  private static final int COMPACT_AT = 1_024;

  private final Duration retention;
  private final int maxRecords;
  private final InstantSource clock;
  private final Map<String, Stream> streams = new HashMap<>();

  /** Keeps each stream's records for {@code retention}, at most {@code maxRecords} of them. */
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

  /** Expired records stay at the head of the list until there are enough to drop at once. */
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
      Instant horizon = now.minus(retention);
      while (size() > maxRecords || (size() > 0 && oldest().appendedAt().isBefore(horizon))) {
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
