package io.hawthornlb.core.admission.support;

import io.hawthornlb.core.model.RequestClass;
import io.hawthornlb.core.model.WorkspaceId;
import java.time.Duration;
import java.time.Instant;
import java.util.Comparator;
import java.util.EnumMap;
import java.util.Map;
import java.util.TreeSet;
import org.jspecify.annotations.Nullable;

/** Requests of one service at this entry: what runs, what waits, and how fast it ends. */
final class ServicePool {

  private static final double SMOOTHING = 0.05;
  private static final double WINDOW_MILLIS = 2_000;

  private final Map<RequestClass, FairQueue> queues = new EnumMap<>(RequestClass.class);
  private final TreeSet<Ticket> byStart =
      new TreeSet<>(Comparator.comparing(Ticket::startBy).thenComparingLong(Ticket::number));
  private final int bulkEvery;
  private int slots;
  private int running;
  private int starts;
  private double serviceMillis;
  private double endsInWindow;
  private Instant endsAt = Instant.MIN;

  ServicePool(int bulkEvery) {
    this.bulkEvery = bulkEvery;
    for (RequestClass requestClass : RequestClass.values()) {
      queues.put(requestClass, new FairQueue());
    }
  }

  int slots() {
    return slots;
  }

  void slots(int count) {
    slots = count;
  }

  int running() {
    return running;
  }

  int waiting() {
    return byStart.size();
  }

  int waiting(WorkspaceId workspace) {
    return queues.values().stream().mapToInt(queue -> queue.size(workspace)).sum();
  }

  void add(Ticket ticket, double weight) {
    queues.get(ticket.request().requestClass()).add(ticket, weight);
    byStart.add(ticket);
  }

  void remove(Ticket ticket) {
    queues.get(ticket.request().requestClass()).remove(ticket);
    byStart.remove(ticket);
  }

  /** Moves a waiting request that {@link #next} has named to those in progress. */
  void start(Ticket ticket, Instant now) {
    queues.get(ticket.request().requestClass()).start(ticket);
    byStart.remove(ticket);
    ticket.start(now);
    running++;
    starts++;
  }

  void ended(Ticket ticket, Instant now) {
    running--;
    double millis = Duration.between(ticket.startedAt(), now).toMillis();
    serviceMillis =
        serviceMillis == 0
            ? Math.max(1, millis)
            : serviceMillis + SMOOTHING * (millis - serviceMillis);
    endsInWindow = endsInWindow(now) + 1;
    endsAt = now;
  }

  /** Returns the queue whose request is next, or null when none may start. */
  @Nullable FairQueue next() {
    FairQueue interactive = queues.get(RequestClass.INTERACTIVE);
    FairQueue bulk = queues.get(RequestClass.BULK);
    boolean turnOfBulk = starts % bulkEvery == bulkEvery - 1;
    // Interactive requests go first; without a turn now and then a steady stream of them would
    // hold up bulk requests for as long as it lasts.
    if (interactive.peek() != null && !(turnOfBulk && bulk.peek() != null)) {
      return interactive;
    }
    return bulk.peek() != null ? bulk : nonEmpty(queues.get(RequestClass.BATCH));
  }

  void release(WorkspaceId workspace) {
    queues.values().forEach(queue -> queue.release(workspace));
  }

  void releaseAll() {
    queues.values().forEach(FairQueue::releaseAll);
  }

  /** Returns a waiting request that should have started before now, or null. */
  @Nullable Ticket hopeless(Instant now) {
    if (byStart.isEmpty()) {
      return null;
    }
    Ticket first = byStart.first();
    return now.isAfter(first.startBy()) ? first : null;
  }

  /** Returns how long requests take from their start to their end. */
  Duration serviceTime() {
    return Duration.ofMillis((long) serviceMillis);
  }

  /** Returns how long a new request would probably wait. */
  Duration wait(RequestClass requestClass, WorkspaceId workspace, double weight, Instant now) {
    double ahead = queues.get(requestClass).ahead(workspace, weight);
    if (requestClass == RequestClass.BULK) {
      ahead += queues.get(RequestClass.INTERACTIVE).size();
    }
    return Duration.ofMillis((long) (ahead * millisPerEnd(now)));
  }

  private double millisPerEnd(Instant now) {
    // Before the first request has ended nothing is known about the pace; refusing on a guess
    // would turn callers away from idle endpoints.
    if (serviceMillis == 0) {
      return 0;
    }
    double perMilli = Math.max(endsInWindow(now) / WINDOW_MILLIS, running / serviceMillis);
    return perMilli == 0 ? 0 : 1 / perMilli;
  }

  private double endsInWindow(Instant now) {
    if (endsAt == Instant.MIN) {
      return 0;
    }
    return endsInWindow * Math.exp(-Duration.between(endsAt, now).toMillis() / WINDOW_MILLIS);
  }

  private static @Nullable FairQueue nonEmpty(FairQueue queue) {
    return queue.peek() == null ? null : queue;
  }
}
