package io.hawthornlb.gateway.slot.support;

import java.util.PriorityQueue;
import java.util.function.IntConsumer;

/**
 * Runs scheduled actions in virtual time; actions scheduled for the same moment run in the order in
 * which they were scheduled.
 */
final class VirtualTime {

  private final PriorityQueue<Due> due = new PriorityQueue<>();
  private long scheduled;
  private int now;

  private record Due(int at, long order, Runnable action) implements Comparable<Due> {

    @Override
    public int compareTo(Due other) {
      return at != other.at ? Integer.compare(at, other.at) : Long.compare(order, other.order);
    }
  }

  /** Returns the milliseconds since the start. */
  int now() {
    return now;
  }

  void at(int millis, Runnable action) {
    scheduled++;
    due.add(new Due(millis, scheduled, action));
  }

  /** Schedules an action at a fixed interval, from time zero until the end. */
  void every(int millis, int end, Runnable action) {
    for (int at = 0; at < end; at += millis) {
      at(at, action);
    }
  }

  /**
   * Runs all actions that are due before the end.
   *
   * @param clock receives the virtual time before each action
   */
  void runUntil(int end, IntConsumer clock) {
    while (!due.isEmpty() && due.peek().at() < end) {
      Due next = due.poll();
      now = next.at();
      clock.accept(now);
      next.action().run();
    }
  }
}
