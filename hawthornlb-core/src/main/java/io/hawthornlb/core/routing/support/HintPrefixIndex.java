package io.hawthornlb.core.routing.support;

import io.hawthornlb.core.model.EndpointId;
import io.hawthornlb.core.routing.PrefixEvent;
import io.hawthornlb.core.routing.PrefixIndex;
import java.time.Instant;
import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** Index of a bounded number of prefixes, whose hints lose confidence with age. */
public final class HintPrefixIndex implements PrefixIndex {

  private static final int MAX_HOLDERS = 4;
  private static final double HALF_LIFE_MILLIS = 60_000;
  private static final double GAP_FACTOR = 0.5;

  private final int capacity;
  private final Map<String, LinkedHashMap<EndpointId, Long>> prefixes =
      new LinkedHashMap<>(16, 0.75f, true);
  private final Map<EndpointId, Long> lastSequence = new HashMap<>();
  private final Map<EndpointId, Long> lastGap = new HashMap<>();
  private final Map<EndpointId, Long> invalidatedAt = new HashMap<>();

  /** Creates an index of at most {@code capacity} prefixes. */
  public HintPrefixIndex(int capacity) {
    this.capacity = capacity;
  }

  @Override
  public void onEvents(EndpointId endpoint, List<PrefixEvent> events, Instant now) {
    for (PrefixEvent event : events) {
      Long last = lastSequence.put(endpoint, event.sequence());
      // An eviction may be among the lost events, so older hints about the endpoint count less.
      if (last != null && event.sequence() != last + 1) {
        lastGap.put(endpoint, now.toEpochMilli());
      }
      if (event.kind() == PrefixEvent.Kind.STORED) {
        put(event.prefix(), endpoint, now);
      } else {
        remove(event.prefix(), endpoint);
      }
    }
  }

  @Override
  public void onRouted(EndpointId endpoint, List<String> routed, Instant now) {
    routed.forEach(prefix -> put(prefix, endpoint, now));
  }

  @Override
  public void onLost(EndpointId endpoint, Instant now) {
    invalidatedAt.put(endpoint, now.toEpochMilli());
    lastSequence.remove(endpoint);
    lastGap.remove(endpoint);
  }

  @Override
  public Collection<EndpointId> holders(String prefix, Instant now) {
    LinkedHashMap<EndpointId, Long> holders = prefixes.get(prefix);
    return holders == null ? List.of() : List.copyOf(holders.keySet());
  }

  @Override
  public double confidence(EndpointId endpoint, String prefix, Instant now) {
    LinkedHashMap<EndpointId, Long> holders = prefixes.get(prefix);
    Long hintedAt = holders == null ? null : holders.get(endpoint);
    if (hintedAt == null || hintedAt <= invalidatedAt.getOrDefault(endpoint, Long.MIN_VALUE)) {
      return 0;
    }
    double confidence = Math.pow(0.5, (now.toEpochMilli() - hintedAt) / HALF_LIFE_MILLIS);
    return hintedAt < lastGap.getOrDefault(endpoint, Long.MIN_VALUE)
        ? confidence * GAP_FACTOR
        : confidence;
  }

  private void put(String prefix, EndpointId endpoint, Instant now) {
    LinkedHashMap<EndpointId, Long> holders =
        prefixes.computeIfAbsent(prefix, key -> new LinkedHashMap<>());
    holders.remove(endpoint);
    holders.put(endpoint, now.toEpochMilli());
    if (holders.size() > MAX_HOLDERS) {
      removeEldest(holders);
    }
    if (prefixes.size() > capacity) {
      removeEldest(prefixes);
    }
  }

  private void remove(String prefix, EndpointId endpoint) {
    LinkedHashMap<EndpointId, Long> holders = prefixes.get(prefix);
    if (holders != null && holders.remove(endpoint) != null && holders.isEmpty()) {
      prefixes.remove(prefix);
    }
  }

  private static <K, V> void removeEldest(Map<K, V> map) {
    map.remove(map.keySet().iterator().next());
  }
}
