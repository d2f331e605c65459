package io.hawthornlb.gateway.slot.support;

import io.hawthornlb.gateway.slot.SlotKey;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.NoSuchElementException;
import java.util.Objects;
import java.util.TreeSet;
import java.util.stream.Stream;
import org.jspecify.annotations.Nullable;

/**
 * The requests that wait for a slot, in the order in which they get one.
 *
 * <p>After an outage of a large fleet thousands of items wait, and the holder of each repeats its
 * request every two seconds, while online requests come and go. So the position in the order is
 * found in logarithmic time, and whether a request waits in constant time. The queues among which
 * {@link Turns} decides are few; an iteration merges them.
 */
final class WaitingRequests {

  /** Queues that are not empty. */
  private final Map<String, TreeSet<Waiter>> queues = new HashMap<>();

  private final Map<SlotKey, Waiter> byKey = new HashMap<>();
  private final Contention contention;
  private final Turns turns;
  private int online;
  private Duration onlineWork = Duration.ZERO;

  /**
   * Creates an empty set.
   *
   * @param contention determines the queues and the order among them, and is told what waits
   */
  WaitingRequests(Contention contention) {
    this.contention = contention;
    this.turns = contention.turns();
  }

  /** Requests before another one: their number, the work that they were charged, and their work. */
  private record Ahead(int requests, double units, Duration work) {}

  boolean isEmpty() {
    return byKey.isEmpty();
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
    TreeSet<Waiter> only = onlyQueue(waiter);
    return only == null ? ahead(waiter).requests() : only.headSet(waiter).size();
  }

  /** Returns the queue of a request if there is no other one. */
  private @Nullable TreeSet<Waiter> onlyQueue(Waiter waiter) {
    return queues.size() == 1 ? queues.get(turns.queue(waiter.request())) : null;
  }

  /**
   * Returns the work of the waiting requests that get a slot before the given request, in units of
   * the usual work.
   */
  double unitsBefore(Waiter waiter) {
    return ahead(waiter).units();
  }

  private Ahead ahead(Waiter waiter) {
    String own = turns.queue(waiter.request());
    int requests = 0;
    double units = 0;
    long work = 0;
    double turn = turns.queueTurn(own);
    TreeSet<Waiter> ownQueue = queues.get(own);
    if (ownQueue != null) {
      for (Waiter each : ownQueue.headSet(waiter)) {
        requests++;
        units += each.units();
        work += each.work().toNanos();
        turn += Waiter.CLASS_ORDER.compare(each, waiter) < 0 ? 0 : each.units();
      }
    }
    for (Map.Entry<String, TreeSet<Waiter>> queue : queues.entrySet()) {
      if (queue.getKey().equals(own)) {
        continue;
      }
      double othersTurn = turns.queueTurn(queue.getKey());
      for (Waiter each : queue.getValue()) {
        int order = Waiter.CLASS_ORDER.compare(each, waiter);
        if (order > 0 || (order == 0 && othersTurn > turn)) {
          break;
        }
        requests++;
        units += each.units();
        work += each.work().toNanos();
        othersTurn += order < 0 ? 0 : each.units();
      }
    }
    return new Ahead(requests, units, Duration.ofNanos(work));
  }

  /** Returns the work of all waiting online requests. */
  Duration onlineWork() {
    return onlineWork;
  }

  /**
   * Returns the work of the waiting requests that get a slot before the given online request, which
   * need not be waiting itself. Most requests queue up near the end, so this walks the requests
   * after it if there is only one queue.
   */
  Duration workBefore(Waiter waiter) {
    TreeSet<Waiter> only = onlyQueue(waiter);
    if (only == null) {
      return ahead(waiter).work();
    }
    long after = 0;
    for (Waiter each : only.tailSet(waiter)) {
      if (each.request().batch()) {
        break;
      }
      after += each.work().toNanos();
    }
    return onlineWork.minusNanos(after);
  }

  void add(Waiter waiter) {
    insert(waiter);
    byKey.put(waiter.request().key(), waiter);
    if (!waiter.request().batch()) {
      online++;
      onlineWork = onlineWork.plus(waiter.work());
    }
    contention.waits(waiter, true);
  }

  /** Removes and returns a waiting request; null if the request does not wait. */
  @Nullable Waiter remove(SlotKey key) {
    Waiter waiter = byKey.get(key);
    if (waiter != null) {
      extract(waiter);
      forget(waiter);
    }
    return waiter;
  }

  /** Removes and returns the requests that have waited for their maximum time. */
  List<Waiter> removeExpired(Instant now) {
    List<Waiter> expired = all().filter(waiter -> !now.isBefore(waiter.until())).toList();
    expired.forEach(waiter -> remove(waiter.request().key()));
    return expired;
  }

  /** Returns the waiting batch items. */
  List<Waiter> items() {
    return all().filter(waiter -> waiter.request().batch()).toList();
  }

  /** Moves a request to another position in the order. */
  void replace(Waiter former, Waiter next) {
    extract(former);
    insert(next);
    byKey.put(next.request().key(), next);
  }

  /** Returns an iterator in that order, which supports removal. */
  Iterator<Waiter> inOrder() {
    return new MergedQueues();
  }

  private Stream<Waiter> all() {
    return queues.values().stream().flatMap(TreeSet::stream);
  }

  private void insert(Waiter waiter) {
    queues
        .computeIfAbsent(turns.queue(waiter.request()), any -> new TreeSet<>(Waiter.ORDER))
        .add(waiter);
  }

  private void extract(Waiter waiter) {
    String queue = turns.queue(waiter.request());
    TreeSet<Waiter> waiters = queues.get(queue);
    if (waiters != null && waiters.remove(waiter) && waiters.isEmpty()) {
      queues.remove(queue);
    }
  }

  private void forget(Waiter waiter) {
    byKey.remove(waiter.request().key());
    if (!waiter.request().batch()) {
      online--;
      onlineWork = onlineWork.minus(waiter.work());
    }
    contention.waits(waiter, false);
  }

  /** The rest of one queue during an iteration. */
  private static final class Rest {

    private final String queue;
    private final Iterator<Waiter> waiters;
    private @Nullable Waiter head;

    private Rest(String queue, Iterator<Waiter> waiters) {
      this.queue = queue;
      this.waiters = waiters;
      advance();
    }

    private void advance() {
      head = waiters.hasNext() ? waiters.next() : null;
    }
  }

  /**
   * Merges the queues. The turns of the queues are compared anew for each request, because they
   * change with the requests that get slots during the iteration.
   */
  private final class MergedQueues implements Iterator<Waiter> {

    private final List<Rest> rests = new ArrayList<>();

    /** The queue of the last returned request, which advances only after a possible removal. */
    private @Nullable Rest last;

    private MergedQueues() {
      queues.forEach((queue, waiters) -> rests.add(new Rest(queue, waiters.iterator())));
    }

    @Override
    public boolean hasNext() {
      advanceLast();
      return rests.stream().anyMatch(rest -> rest.head != null);
    }

    @Override
    public Waiter next() {
      advanceLast();
      Rest first = null;
      for (Rest rest : rests) {
        if (rest.head != null && (first == null || precedes(rest, first))) {
          first = rest;
        }
      }
      if (first == null) {
        throw new NoSuchElementException();
      }
      last = first;
      return Objects.requireNonNull(first.head);
    }

    @Override
    public void remove() {
      Rest rest = Objects.requireNonNull(last, "next() must be called before remove()");
      rest.waiters.remove();
      forget(Objects.requireNonNull(rest.head));
      if (queues.get(rest.queue).isEmpty()) {
        queues.remove(rest.queue);
      }
    }

    private void advanceLast() {
      if (last != null) {
        last.advance();
        last = null;
      }
    }

    private boolean precedes(Rest rest, Rest other) {
      Waiter waiter = Objects.requireNonNull(rest.head);
      Waiter others = Objects.requireNonNull(other.head);
      int order = Waiter.CLASS_ORDER.compare(waiter, others);
      if (order == 0) {
        order = Double.compare(turns.queueTurn(rest.queue), turns.queueTurn(other.queue));
      }
      return (order == 0 ? Waiter.ORDER.compare(waiter, others) : order) < 0;
    }
  }
}
