package io.hawthornlb.gateway.slot.support;

import io.hawthornlb.gateway.slot.SlotKey;
import java.time.Instant;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.TreeSet;
import org.jspecify.annotations.Nullable;

/**
 * Requests that wait for a slot, in the order in which they get one.
 *
 * <p>Load pattern: after an outage of a large fleet thousands of items wait, each asks anew every
 * two seconds, and online requests come and go all the while. A place in the order is found in
 * logarithmic time, and whether a request waits in constant time.
 */
final class WaitingRequests {

  private final TreeSet<Waiter> ordered = new TreeSet<>(Waiter.ORDER);
  private final Map<SlotKey, Waiter> byKey = new HashMap<>();
  private int online;

  boolean isEmpty() {
    return ordered.isEmpty();
  }

  /** Returns a request that waits; null if it does not. */
  @Nullable Waiter find(SlotKey key) {
    return byKey.get(key);
  }

  /** Returns the number of online requests. */
  int online() {
    return online;
  }

  /** Returns the number of requests that get a slot before one that is not among them. */
  int before(Waiter waiter) {
    return ordered.headSet(waiter).size();
  }

  void add(Waiter waiter) {
    ordered.add(waiter);
    byKey.put(waiter.request().key(), waiter);
    online += waiter.request().batch() ? 0 : 1;
  }

  void remove(SlotKey key) {
    Waiter waiter = byKey.get(key);
    if (waiter != null) {
      ordered.remove(waiter);
      forget(waiter);
    }
  }

  /** Removes and returns those that have waited long enough. */
  List<Waiter> removeExpired(Instant now) {
    List<Waiter> expired =
        ordered.stream().filter(waiter -> !now.isBefore(waiter.until())).toList();
    expired.forEach(waiter -> remove(waiter.request().key()));
    return expired;
  }

  /** Returns the batch items. */
  List<Waiter> items() {
    return ordered.stream().filter(waiter -> waiter.request().batch()).toList();
  }

  /** Puts a request at another place in the order. */
  void replace(Waiter former, Waiter next) {
    ordered.remove(former);
    ordered.add(next);
    byKey.put(next.request().key(), next);
  }

  /** Returns an iterator that can remove. */
  Iterator<Waiter> inOrder() {
    Iterator<Waiter> each = ordered.iterator();
    return new Iterator<>() {

      private @Nullable Waiter last;

      @Override
      public boolean hasNext() {
        return each.hasNext();
      }

      @Override
      public Waiter next() {
        last = each.next();
        return last;
      }

      @Override
      public void remove() {
        each.remove();
        forget(Objects.requireNonNull(last, "next() comes first"));
      }
    };
  }

  private void forget(Waiter waiter) {
    byKey.remove(waiter.request().key());
    online -= waiter.request().batch() ? 0 : 1;
  }
}
