package io.hawthornlb.gateway.slot.support;

import java.util.PriorityQueue;
import java.util.function.IntConsumer;

/** Actions at moments in virtual time, those of one moment in the order in which they came. */
final class VirtualTime {

  private final PriorityQueue<Due> due = new PriorityQueue<>();
  private long order;
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
    order++;
    due.add(new Due(millis, order, action));
  }

  /** Does something now and again until an end. */
  void every(int millis, int end, Runnable action) {
    for (int at = 0; at < end; at += millis) {
      at(at, action);
    }
  }

  /**
   * Runs what is due before an end.
   *
   * @param clock is told the time before each action
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
