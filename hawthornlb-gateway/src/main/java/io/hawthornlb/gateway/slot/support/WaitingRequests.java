package io.hawthornlb.gateway.slot.support;

import io.hawthornlb.gateway.slot.SlotKey;
import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.TreeSet;
import org.jspecify.annotations.Nullable;

/**
 * The requests that wait for a slot, in the order in which they get one.
 *
 * <p>After an outage of a large fleet thousands of items wait, and the holder of each repeats its
 * request every two seconds, while online requests come and go. So the position in the order is
 * found in logarithmic time, and whether a request waits in constant time.
 */
final class WaitingRequests {

  private final TreeSet<Waiter> ordered = new TreeSet<>(Waiter.ORDER);
  private final Map<SlotKey, Waiter> byKey = new HashMap<>();
  private int online;
  private Duration onlineWork = Duration.ZERO;

  boolean isEmpty() {
    return ordered.isEmpty();
  }

  /** Returns a waiting request; null if the request does not wait. */
  @Nullable Waiter find(SlotKey key) {
    return byKey.get(key);
  }

  /** Returns the number of waiting online requests. */
  int online() {
    return online;
  }

  /**
   * Returns the number of waiting requests that get a slot before the given request, which need not
   * be waiting itself.
   */
  int before(Waiter waiter) {
    return ordered.headSet(waiter).size();
  }

  /** Returns the work of all waiting online requests. */
  Duration onlineWork() {
    return onlineWork;
  }

  /**
   * Returns the work of the waiting requests that get a slot before the given online request, which
   * need not be waiting itself. Most requests queue up near the end, so this walks the requests
   * after it.
   */
  Duration workBefore(Waiter waiter) {
    long after = 0;
    for (Waiter each : ordered.tailSet(waiter)) {
      if (each.request().batch()) {
        break;
      }
      after += each.work().toNanos();
    }
    return onlineWork.minusNanos(after);
  }

  void add(Waiter waiter) {
    ordered.add(waiter);
    byKey.put(waiter.request().key(), waiter);
    if (!waiter.request().batch()) {
      online++;
      onlineWork = onlineWork.plus(waiter.work());
    }
  }

  /** Removes and returns a waiting request; null if the request does not wait. */
  @Nullable Waiter remove(SlotKey key) {
    Waiter waiter = byKey.get(key);
    if (waiter != null) {
      ordered.remove(waiter);
      forget(waiter);
    }
    return waiter;
  }

  /** Removes and returns the requests that have waited for their maximum time. */
  List<Waiter> removeExpired(Instant now) {
    List<Waiter> expired =
        ordered.stream().filter(waiter -> !now.isBefore(waiter.until())).toList();
    expired.forEach(waiter -> remove(waiter.request().key()));
    return expired;
  }

  /** Returns the waiting batch items. */
  List<Waiter> items() {
    return ordered.stream().filter(waiter -> waiter.request().batch()).toList();
  }

  /** Moves a request to another position in the order. */
  void replace(Waiter former, Waiter next) {
    ordered.remove(former);
    ordered.add(next);
    byKey.put(next.request().key(), next);
  }

  /** Returns an iterator in that order, which supports removal. */
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
        forget(Objects.requireNonNull(last, "next() must be called before remove()"));
      }
    };
  }

  private void forget(Waiter waiter) {
    byKey.remove(waiter.request().key());
    if (!waiter.request().batch()) {
      online--;
      onlineWork = onlineWork.minus(waiter.work());
    }
  }
}
