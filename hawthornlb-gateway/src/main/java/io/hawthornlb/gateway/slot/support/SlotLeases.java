package io.hawthornlb.gateway.slot.support;

import io.hawthornlb.gateway.endpoint.EndpointDirectory;
import io.hawthornlb.gateway.slot.SlotKey;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Predicate;
import org.jspecify.annotations.Nullable;

/**
 * Leases of slots that a coordinator knows of, counted by endpoint.
 *
 * <p>Uses of a former endpoint incarnation may end late, because their ends are reported in
 * datagrams; without a guard they would free slots of the new incarnation and count as its
 * failures. The lease of such a use therefore stays known until the use ends, so that a request
 * that crashed the endpoint is still identified, but is not counted otherwise.
 */
final class SlotLeases {

  private final EndpointDirectory directory;
  private final Map<SlotKey, SlotLease> leases = new HashMap<>();
  private final Map<String, Integer> used = new HashMap<>();
  private int counted;
  private int online;

  SlotLeases(EndpointDirectory directory) {
    this.directory = directory;
  }

  boolean isEmpty() {
    return leases.isEmpty();
  }

  /** Returns a lease; null if it is not known. */
  @Nullable SlotLease find(SlotKey key) {
    return leases.get(key);
  }

  /**
   * Returns whether a lease belongs to the current incarnation of its endpoint, or to one that this
   * instance has not heard of yet.
   */
  boolean isCurrent(SlotLease lease) {
    return !directory.isSuperseded(lease.incarnation());
  }

  /** Stores a lease, replacing the one with the same key. */
  void put(SlotLease lease) {
    drop(lease.key());
    leases.put(lease.key(), lease);
    count(lease, 1);
  }

  /** Removes a lease and returns it; null if it was not known. */
  @Nullable SlotLease drop(SlotKey key) {
    SlotLease lease = leases.remove(key);
    if (lease != null) {
      count(lease, -1);
    }
    return lease;
  }

  /** Removes the leases that match a condition. */
  void dropAll(Predicate<SlotLease> condition) {
    List<SlotKey> keys = leases.values().stream().filter(condition).map(SlotLease::key).toList();
    keys.forEach(this::drop);
  }

  /** Recounts the leases after an endpoint has started a new incarnation. */
  void recount() {
    used.clear();
    counted = 0;
    online = 0;
    leases.values().forEach(lease -> count(lease, 1));
  }

  /** Returns the number of slots in use at an endpoint. */
  int used(String endpoint) {
    return used.getOrDefault(endpoint, 0);
  }

  /** Returns the number of slots in use. */
  int counted() {
    return counted;
  }

  /** Returns the number of slots that online requests use. */
  int online() {
    return online;
  }

  /** Returns whether batch items use any slots. */
  boolean anyItem() {
    return counted > online;
  }

  /** Returns the leases of batch items at current endpoint incarnations. */
  List<SlotLease> items() {
    return leases.values().stream().filter(lease -> lease.batch() && isCurrent(lease)).toList();
  }

  private void count(SlotLease lease, int change) {
    if (isCurrent(lease)) {
      counted += change;
      online += lease.batch() ? 0 : change;
      used.merge(lease.endpoint(), change, Integer::sum);
      used.remove(lease.endpoint(), 0);
    }
  }
}
