package io.hawthornlb.gateway.endpoint;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;

/**
 * The endpoints that may receive requests.
 *
 * <p>While the store is unreachable, the entries of healthy endpoints expire; the endpoints write
 * them again when they reach the store. Right after an outage, removals of up to all endpoints may
 * therefore arrive at once. A removal within {@link #RETURN_GRACE} of the end of an outage takes
 * effect at the end of that span, and is cancelled if the entry is written again before.
 *
 * <p>An endpoint may restart under the same id, which shows as an entry with a later start. State
 * about the former incarnation would restrict the new one, and an entry of the former incarnation
 * that arrives late would send requests to an address where nothing listens. The directory
 * therefore remembers the latest start of each id, ignores an entry with an earlier start, and
 * notifies its listeners once of each new incarnation, so that they discard what they keep about
 * the former one.
 */
public final class EndpointDirectory {

  /**
   * Time within which expired entries are written again after an outage: 2 s by contract, plus a
   * margin.
   */
  public static final Duration RETURN_GRACE = Duration.ofMillis(2_300);

  /**
   * Longest time for which a removed entry stays in use, also after an outage. An endpoint that
   * leaves must receive nothing 2 s after its removal, and to stop using the endpoint takes a read
   * and a placement.
   */
  public static final Duration MAX_GRACE = Duration.ofMillis(1_600);

  /**
   * Number of ids whose latest start is remembered. Late entries arrive seconds late, and a fleet
   * starts some hundred endpoints a day.
   */
  private static final int MAX_STARTS = 10_000;

  private final Map<String, EndpointRecord> records = new LinkedHashMap<>();
  private final Map<String, List<EndpointRecord>> usable = new HashMap<>();
  private final Map<String, Instant> expiring = new HashMap<>();
  private final Map<String, Long> starts = new HashMap<>();
  private final List<Consumer<EndpointRecord>> removalListeners = new ArrayList<>();
  private final List<Consumer<EndpointIncarnation>> restartListeners = new ArrayList<>();
  private final List<Runnable> changeListeners = new ArrayList<>();
  private Instant outageEnd = Instant.MIN;

  /** Adds or updates an entry, unless a former incarnation of the endpoint wrote it. */
  public void put(EndpointRecord entry) {
    if (isSuperseded(entry.incarnation())) {
      return;
    }
    expiring.remove(entry.id());
    EndpointRecord previous = records.put(entry.id(), entry);
    if (starts.size() >= MAX_STARTS) {
      starts.keySet().retainAll(records.keySet());
    }
    Long start = starts.put(entry.id(), entry.born());
    if (start != null && start < entry.born()) {
      restartListeners.forEach(listener -> listener.accept(entry.incarnation()));
    }
    if (!entry.equals(previous)) {
      onChanged();
    }
  }

  /** Handles the removal of an entry, which may take effect later after an outage. */
  public void remove(String id, Instant now) {
    if (!records.containsKey(id)) {
      return;
    }
    Instant graceEnd = outageEnd.plus(RETURN_GRACE);
    if (now.isBefore(graceEnd)) {
      Instant latest = now.plus(MAX_GRACE);
      expiring.putIfAbsent(id, latest.isBefore(graceEnd) ? latest : graceEnd);
      return;
    }
    drop(id);
  }

  /**
   * Removes an endpoint at once because its entry has become unreadable. The directory does not
   * wait for such an entry, unlike for one that is missing after an outage.
   */
  public void withdraw(String id) {
    drop(id);
  }

  /** Replaces all entries by a complete list; entries missing from the list count as removed. */
  public void replaceAll(List<EndpointRecord> entries, Instant now) {
    entries.forEach(this::put);
    List<String> present = entries.stream().map(EndpointRecord::id).toList();
    List<String> missing = records.keySet().stream().filter(id -> !present.contains(id)).toList();
    missing.forEach(id -> remove(id, now));
  }

  /** Records that the store answers again after an outage. */
  public void outageEnded(Instant now) {
    outageEnd = now;
  }

  /** Drops the removed entries whose grace period has ended. */
  public void expire(Instant now) {
    List<String> due =
        expiring.entrySet().stream()
            .filter(entry -> !now.isBefore(entry.getValue()))
            .map(Map.Entry::getKey)
            .toList();
    due.forEach(this::drop);
  }

  /** Returns the entry of an endpoint, including one that is leaving. */
  public Optional<EndpointRecord> find(String id) {
    return Optional.ofNullable(records.get(id));
  }

  /** Returns all entries, including those of endpoints that are leaving. */
  public List<EndpointRecord> all() {
    return List.copyOf(records.values());
  }

  /** Returns the endpoints of a service that accept new requests. */
  public List<EndpointRecord> usable(String service) {
    // Cached, because each decision about a slot needs the list, which changes a few times a
    // minute.
    return usable.computeIfAbsent(service, this::findUsable);
  }

  /** Returns whether a later incarnation of the endpoint is known. */
  public boolean isSuperseded(EndpointIncarnation incarnation) {
    Long start = starts.get(incarnation.id());
    return start != null && incarnation.born() < start;
  }

  /** Returns whether the directory knows only an earlier incarnation of the endpoint. */
  public boolean isNewerThanKnown(EndpointIncarnation incarnation) {
    Long start = starts.get(incarnation.id());
    return start != null && start < incarnation.born();
  }

  /** Returns the number of entries. */
  public int size() {
    return records.size();
  }

  /** Adds a listener that is called after an endpoint was dropped. */
  public void onRemoval(Consumer<EndpointRecord> listener) {
    removalListeners.add(listener);
  }

  /** Adds a listener that is called once for each restart of a known endpoint. */
  public void onRestart(Consumer<EndpointIncarnation> listener) {
    restartListeners.add(listener);
  }

  /** Adds a listener that is called after each change. */
  public void onChange(Runnable listener) {
    changeListeners.add(listener);
  }

  private List<EndpointRecord> findUsable(String service) {
    return records.values().stream()
        .filter(entry -> entry.service().equals(service) && !entry.leaving())
        .toList();
  }

  private void drop(String id) {
    expiring.remove(id);
    EndpointRecord entry = records.remove(id);
    if (entry != null) {
      removalListeners.forEach(listener -> listener.accept(entry));
      onChanged();
    }
  }

  private void onChanged() {
    usable.clear();
    changeListeners.forEach(Runnable::run);
  }
}
