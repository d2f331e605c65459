package io.hawthornlb.gateway.slot.support;

import io.hawthornlb.gateway.endpoint.EndpointDirectory;
import io.hawthornlb.gateway.slot.SlotKey;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Predicate;
import org.jspecify.annotations.Nullable;

/**
 * The uses of slots that a coordinator knows of, counted by endpoint.
 *
 * <p>Failure: uses of a former life of an endpoint end late, over datagrams, and would free slots
 * and count failures of the new one. Guard: such a use stays known until it ends, so that a request
 * that crashed the endpoint is still found, and counts for nothing else.
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

  /** Returns a use; null if it is not known. */
  @Nullable SlotLease find(SlotKey key) {
    return leases.get(key);
  }

  /** Returns whether a use is one of the endpoint's present life, or of one not told of yet. */
  boolean counts(SlotLease lease) {
    return !directory.isSuperseded(lease.life());
  }

  /** Takes a use, in place of the one under its key. */
  void hold(SlotLease lease) {
    drop(lease.key());
    leases.put(lease.key(), lease);
    count(lease, 1);
  }

  /** Forgets a use and returns it; null if it was not known. */
  @Nullable SlotLease drop(SlotKey key) {
    SlotLease lease = leases.remove(key);
    if (lease != null) {
      count(lease, -1);
    }
    return lease;
  }

  /** Forgets the uses that meet a condition. */
  void dropAll(Predicate<SlotLease> condition) {
    List<SlotKey> keys = leases.values().stream().filter(condition).map(SlotLease::key).toList();
    keys.forEach(this::drop);
  }

  /** Counts anew after an endpoint has begun another life. */
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

  /** Returns the uses of batch items that count. */
  List<SlotLease> items() {
    return leases.values().stream().filter(lease -> lease.batch() && counts(lease)).toList();
  }

  private void count(SlotLease lease, int change) {
    if (counts(lease)) {
      counted += change;
      online += lease.batch() ? 0 : change;
      used.merge(lease.endpoint(), change, Integer::sum);
      used.remove(lease.endpoint(), 0);
    }
  }
}
