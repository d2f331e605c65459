package io.hawthornlb.gateway.stream.support;

import io.hawthornlb.gateway.stream.StreamId;
import io.hawthornlb.gateway.stream.StreamOrigin;
import java.time.Duration;
import java.time.Instant;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import org.jspecify.annotations.Nullable;

/**
 * Origins of recent streams, bounded in number and age.
 *
 * <p>If a stream id is recorded with two origins, its caller has used one id for two streams, or
 * the first record was wrong. Neither origin is used then.
 */
public final class OriginTable {

  /** Time for which an origin is kept; callers resume streams within seconds. */
  static final Duration RETENTION = Duration.ofSeconds(60);

  /**
   * Maximum number of origins. The largest fleet begins 5,400 streams a second, of which each
   * instance keeps one in a hundred: 3,300 in the time that they are kept.
   */
  static final int MAX_ORIGINS = 20_000;

  /** An origin; null if it is ambiguous. */
  private record Entry(@Nullable StreamOrigin origin, Instant recorded) {}

  private final Map<StreamId, Entry> entries = new LinkedHashMap<>();

  /** Records an origin. */
  public void put(StreamId stream, StreamOrigin origin, Instant now) {
    removeOld(now);
    Entry known = entries.remove(stream);
    boolean same = known == null || origin.equals(known.origin());
    entries.put(stream, new Entry(same ? origin : null, now));
  }

  /** Returns whether the table has a record of a stream, if only that its origin is ambiguous. */
  public boolean contains(StreamId stream, Instant now) {
    removeOld(now);
    return entries.containsKey(stream);
  }

  /** Returns where a stream began; empty if that is not known or ambiguous. */
  public Optional<StreamOrigin> find(StreamId stream, Instant now) {
    removeOld(now);
    Entry entry = entries.get(stream);
    return entry == null ? Optional.empty() : Optional.ofNullable(entry.origin());
  }

  /** Returns the number of records. */
  public int size() {
    return entries.size();
  }

  /** Removes old records, and the oldest if there are too many; records are in order of age. */
  private void removeOld(Instant now) {
    Instant oldest = now.minus(RETENTION);
    Iterator<Entry> inOrder = entries.values().iterator();
    while (inOrder.hasNext()) {
      Entry first = inOrder.next();
      if (entries.size() < MAX_ORIGINS && !first.recorded().isBefore(oldest)) {
        return;
      }
      inOrder.remove();
    }
  }
}
