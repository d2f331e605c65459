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

/**
 * Requests of one service at this entry instance: the running ones, the waiting ones, and the rate
 * at which they end.
 */
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

  /** Starts a waiting request that {@link #next} has returned. */
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

  /** Returns the queue that contains the next request to start, or null if none may start. */
  @Nullable FairQueue next() {
    FairQueue interactive = queues.get(RequestClass.INTERACTIVE);
    FairQueue bulk = queues.get(RequestClass.BULK);
    boolean bulkTurn = starts % bulkEvery == bulkEvery - 1;
    // Interactive requests go first. Without an occasional turn for bulk requests, a steady stream
    // of interactive ones would delay them for as long as it lasts.
    if (interactive.peek() != null && !(bulkTurn && bulk.peek() != null)) {
      return interactive;
    }
    return bulk.peek() != null ? bulk : nonEmpty(queues.get(RequestClass.BATCH));
  }

  void resume(WorkspaceId workspace) {
    queues.values().forEach(queue -> queue.resume(workspace));
  }

  void resumeAll() {
    queues.values().forEach(FairQueue::resumeAll);
  }

  /**
   * Returns a waiting request whose latest useful start time has passed, or null if there is none.
   */
  @Nullable Ticket overdue(Instant now) {
    if (byStart.isEmpty()) {
      return null;
    }
    Ticket first = byStart.first();
    return now.isAfter(first.startBy()) ? first : null;
  }

  /** Returns the average time from the start of a request to its end. */
  Duration serviceTime() {
    return Duration.ofMillis((long) serviceMillis);
  }

  /** Estimates how long a new request would wait. */
  Duration waitTime(RequestClass requestClass, WorkspaceId workspace, double weight, Instant now) {
    double ahead = queues.get(requestClass).ahead(workspace, weight);
    if (requestClass == RequestClass.BULK) {
      ahead += queues.get(RequestClass.INTERACTIVE).size();
    }
    return Duration.ofMillis((long) (ahead * millisPerEnd(now)));
  }

  private double millisPerEnd(Instant now) {
    // Before the first request has ended the pace is unknown; refusing requests on a guess would
    // turn callers away from idle endpoints.
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
