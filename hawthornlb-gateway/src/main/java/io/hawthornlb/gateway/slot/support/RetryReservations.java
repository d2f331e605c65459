package io.hawthornlb.gateway.slot.support;

import io.hawthornlb.core.model.WorkspaceId;
import io.hawthornlb.gateway.slot.SlotRequest;
import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.Iterator;
import java.util.Map;
import java.util.Objects;
import java.util.TreeMap;
import org.jspecify.annotations.Nullable;

/**
 * Reservations of refused requests for the time at which their callers were told to retry.
 *
 * <p>A caller retries once. If it gained by resending early, callers that respect Retry-After would
 * be served less than others. So a refused request may wait for longer from the announced time
 * until shortly after it, and before it gets a slot only if one is free. Refusals beyond the bound
 * on reservations are remembered too.
 */
final class RetryReservations implements Retries {

  /** Maximum number of remembered refusals; bounds the memory during an overload. */
  private static final int MAX_REMEMBERED = 5_000;

  /** Time for which a reservation is valid; the network and the caller's timer add some delay. */
  private static final Duration VALID = Duration.ofMillis(500);

  /** Time by which a retry may be early, because timers and clocks differ. */
  private static final Duration TOLERANCE = Duration.ofMillis(20);

  /**
   * Part of its remaining time after which a caller retries at the latest. A later time can't be
   * told: the caller would come before it, for the last time.
   */
  private static final int MAX_RETRY_PART = 3;

  /** Shortest time to which an announced time is reduced; no slot is free before it. */
  private static final Duration MIN_TOLD = Duration.ofMillis(100);

  private final Map<Key, Entry> entries = new HashMap<>();

  /** Number of reservations by the time from which they are valid, in units of their validity. */
  private final TreeMap<Long, Integer> reserved = new TreeMap<>();

  private Instant cleaned = Instant.EPOCH;

  /** Callers of different workspaces that send the same content are told apart. */
  private record Key(long fingerprint, @Nullable WorkspaceId workspace) {

    // Written by hand, because the JVM links the generated methods at run time, which takes some
    // milliseconds.
    @Override
    public boolean equals(Object other) {
      return other instanceof Key key
          && fingerprint == key.fingerprint
          && Objects.equals(workspace, key.workspace);
    }

    @Override
    public int hashCode() {
      return Long.hashCode(fingerprint);
    }
  }

  private record Entry(Instant from, boolean reserved) {

    private Instant until() {
      return from.plus(VALID);
    }

    private long period() {
      return from.toEpochMilli() / VALID.toMillis();
    }
  }

  @Override
  public Duration early(SlotRequest request, Instant now) {
    Entry entry = request.batch() || !fresh(request) ? null : entries.get(key(request));
    boolean early = entry != null && now.isBefore(entry.from().minus(TOLERANCE));
    return early ? Duration.between(now, entry.from()) : Duration.ZERO;
  }

  @Override
  public Standing arrived(SlotRequest request, Instant now) {
    Entry entry = fresh(request) ? remove(key(request)) : null;
    if (entry == null || !now.isBefore(entry.until())) {
      return Standing.NEW;
    }
    return entry.reserved() ? Standing.RESERVED : Standing.RETURNING;
  }

  @Override
  public Duration refused(
      SlotRequest request, Duration retryAfter, Duration waited, ExpectedRoom room, Instant now) {
    Duration latest = request.patience().minus(waited).dividedBy(MAX_RETRY_PART);
    boolean tooLate = retryAfter.compareTo(latest) > 0 && latest.compareTo(MIN_TOLD) >= 0;
    Duration told = tooLate ? latest : retryAfter;
    clean(now);
    if (request.fingerprint() != 0 && entries.size() < MAX_REMEMBERED) {
      remove(key(request));
      Entry entry = new Entry(now.plus(told), true);
      int taken = reserved.getOrDefault(entry.period(), 0);
      boolean reserve = taken < room.after(told, now);
      entries.put(key(request), reserve ? entry : new Entry(entry.from(), false));
      if (reserve) {
        reserved.merge(entry.period(), 1, Integer::sum);
      }
    }
    return told;
  }

  @Override
  public int count(Instant now) {
    clean(now);
    return entries.size();
  }

  /** Returns whether no endpoint has seen the request; one that has is not refused as early. */
  private static boolean fresh(SlotRequest request) {
    return request.excluded().isEmpty();
  }

  private static Key key(SlotRequest request) {
    return new Key(request.fingerprint(), request.workspace());
  }

  private @Nullable Entry remove(Key key) {
    Entry entry = entries.remove(key);
    if (entry != null) {
      uncount(entry);
    }
    return entry;
  }

  private void uncount(Entry entry) {
    if (entry.reserved()) {
      reserved.computeIfPresent(entry.period(), (any, count) -> count == 1 ? null : count - 1);
    }
  }

  /** Removes expired entries; at intervals, because it examines all. */
  private void clean(Instant now) {
    if (now.isBefore(cleaned.plus(TOLERANCE)) && !now.isBefore(cleaned)) {
      return;
    }
    cleaned = now;
    for (Iterator<Entry> each = entries.values().iterator(); each.hasNext(); ) {
      Entry entry = each.next();
      if (!now.isBefore(entry.until())) {
        each.remove();
        uncount(entry);
      }
    }
  }
}
