package io.hawthornlb.gateway.job;

import java.util.ArrayDeque;
import java.util.Queue;

/**
 * Lets a bounded number of partitions be loaded at a time.
 *
 * <p>Load pattern: after a restart of all processes each one loads the partitions that it holds,
 * over a slow link. Loaded all at once, no page comes within the time of its call; one after the
 * other, each does.
 */
final class LoadGate {

  /** Loads at a time; while one waits for the store another one's page uses the link. */
  private static final int MAX_LOADS = 2;

  private final Queue<Runnable> waiting = new ArrayDeque<>();
  private int loads;

  /** Runs a load now, or once another one has ended; each ends with {@link #leave()}. */
  void enter(Runnable load) {
    if (loads < MAX_LOADS) {
      loads++;
      load.run();
    } else {
      waiting.add(load);
    }
  }

  /** Takes the end of a load. */
  void leave() {
    Runnable next = waiting.poll();
    if (next != null) {
      next.run();
    } else {
      loads--;
    }
  }
}
