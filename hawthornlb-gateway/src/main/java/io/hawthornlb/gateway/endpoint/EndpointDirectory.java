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
 * The endpoints that may get requests.
 *
 * <p>Failure: while the store was away, entries of endpoints that live lapse, and come back when
 * the endpoints reach the store again. It shows as removals right after an outage, of up to all
 * endpoints at once. Guard: a removal that is seen within {@link #RETURN_GRACE} of the end of an
 * outage takes effect at the end of that span, unless the entry is back by then.
 *
 * <p>Failure: an endpoint starts again under its id. It shows as an entry with a later start; what
 * was learned of the former life holds the new one back, and an entry of the former life that was
 * written late sends requests where nobody is. Guard: the latest start of each id is remembered, an
 * entry with an earlier one changes nothing, and whoever keeps something by endpoint is told once
 * of each new life.
 */
public final class EndpointDirectory {

  /** Time within which lapsed entries are back after an outage; 2 s by contract and a margin. */
  public static final Duration RETURN_GRACE = Duration.ofMillis(2_300);

  /**
   * Longest time for which a removed entry stays in use, outage or not. An endpoint that leaves may
   * get nothing 2 s after its removal; taking it out of use takes a read and a placement.
   */
  public static final Duration MAX_GRACE = Duration.ofMillis(1_600);

  /**
   * Ids whose latest start is remembered; entries come late by seconds, and a fleet starts some
   * hundred endpoints a day.
   */
  private static final int MAX_STARTS = 10_000;

  private final Map<String, EndpointRecord> records = new LinkedHashMap<>();
  private final Map<String, List<EndpointRecord>> usable = new HashMap<>();
  private final Map<String, Instant> lapsed = new HashMap<>();
  private final Map<String, Long> starts = new HashMap<>();
  private final List<Consumer<EndpointRecord>> removalListeners = new ArrayList<>();
  private final List<Consumer<EndpointLife>> lifeListeners = new ArrayList<>();
  private final List<Runnable> changeListeners = new ArrayList<>();
  private Instant outageEnd = Instant.MIN;

  /** Takes an entry as it was written last, unless a former life of the endpoint wrote it. */
  public void put(EndpointRecord entry) {
    if (former(entry.life())) {
      return;
    }
    lapsed.remove(entry.id());
    EndpointRecord former = records.put(entry.id(), entry);
    if (starts.size() >= MAX_STARTS) {
      starts.keySet().retainAll(records.keySet());
    }
    Long start = starts.put(entry.id(), entry.born());
    if (start != null && start < entry.born()) {
      lifeListeners.forEach(listener -> listener.accept(entry.life()));
    }
    if (!entry.equals(former)) {
      changed();
    }
  }

  /** Takes the removal of an entry. */
  public void remove(String id, Instant now) {
    if (!records.containsKey(id)) {
      return;
    }
    Instant returned = outageEnd.plus(RETURN_GRACE);
    if (now.isBefore(returned)) {
      Instant latest = now.plus(MAX_GRACE);
      lapsed.putIfAbsent(id, latest.isBefore(returned) ? latest : returned);
      return;
    }
    drop(id);
  }

  /**
   * Takes that the entry of an endpoint cannot be read any more: it is there and names no endpoint,
   * so that, unlike one that is missing after an outage, it is not waited for.
   */
  public void withdraw(String id) {
    drop(id);
  }

  /** Takes the whole list, as read at once; entries that it lacks count as removed. */
  public void replaceAll(List<EndpointRecord> entries, Instant now) {
    entries.forEach(this::put);
    List<String> present = entries.stream().map(EndpointRecord::id).toList();
    List<String> missing = records.keySet().stream().filter(id -> !present.contains(id)).toList();
    missing.forEach(id -> remove(id, now));
  }

  /** Notes that the store answers again after an outage. */
  public void outageEnded(Instant now) {
    outageEnd = now;
  }

  /** Drops the entries that have not come back in time. */
  public void expire(Instant now) {
    List<String> due =
        lapsed.entrySet().stream()
            .filter(entry -> !now.isBefore(entry.getValue()))
            .map(Map.Entry::getKey)
            .toList();
    due.forEach(this::drop);
  }

  /** Returns an entry, also of an endpoint that is leaving. */
  public Optional<EndpointRecord> find(String id) {
    return Optional.ofNullable(records.get(id));
  }

  /** Returns the endpoints of a service that take new requests. */
  public List<EndpointRecord> usable(String service) {
    // Asked for each decision about a slot, and changed a few times a minute.
    return usable.computeIfAbsent(service, this::findUsable);
  }

  /** Returns whether a later life of the endpoint has begun. */
  public boolean former(EndpointLife life) {
    Long start = starts.get(life.id());
    return start != null && life.born() < start;
  }

  /** Returns whether the list has told of an earlier life of the endpoint alone. */
  public boolean unheard(EndpointLife life) {
    Long start = starts.get(life.id());
    return start != null && start < life.born();
  }

  /** Returns the number of entries. */
  public int size() {
    return records.size();
  }

  /** Calls a listener after an endpoint was dropped. */
  public void onRemoval(Consumer<EndpointRecord> listener) {
    removalListeners.add(listener);
  }

  /** Calls a listener once when an endpoint that was known by its id has started again. */
  public void onNewLife(Consumer<EndpointLife> listener) {
    lifeListeners.add(listener);
  }

  /** Calls a listener after each change. */
  public void onChange(Runnable listener) {
    changeListeners.add(listener);
  }

  private List<EndpointRecord> findUsable(String service) {
    return records.values().stream()
        .filter(entry -> entry.service().equals(service) && !entry.leaving())
        .toList();
  }

  private void drop(String id) {
    lapsed.remove(id);
    EndpointRecord entry = records.remove(id);
    if (entry != null) {
      removalListeners.forEach(listener -> listener.accept(entry));
      changed();
    }
  }

  private void changed() {
    usable.clear();
    changeListeners.forEach(Runnable::run);
  }
}
