package io.hawthornlb.gateway.job;

import java.util.ArrayDeque;
import java.util.Queue;

/**
 * Bounds the number of partitions that this process loads at the same time.
 *
 * <p>After a restart of all processes, each process loads the partitions that it holds over a slow
 * link. If all partitions load at once, no page arrives within the timeout of its call. If they
 * load one after the other, each page does.
 */
final class LoadLimiter {

  /**
   * Number of concurrent loads. With 2 loads, the page of one uses the link while the other waits
   * for the store.
   */
  private static final int MAX_LOADS = 2;

  private final Queue<Runnable> waiting = new ArrayDeque<>();
  private int loads;

  /**
   * Starts a load now, or queues it until another load has ended. Each load ends with a call of
   * {@link #leave()}.
   */
  void enter(Runnable load) {
    if (loads < MAX_LOADS) {
      loads++;
      load.run();
    } else {
      waiting.add(load);
    }
  }

  /** Ends a load and starts the next queued one. */
  void leave() {
    Runnable next = waiting.poll();
    if (next != null) {
      next.run();
    } else {
      loads--;
    }
  }
}
