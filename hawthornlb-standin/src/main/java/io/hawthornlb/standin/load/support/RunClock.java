package io.hawthornlb.standin.load.support;

import java.util.concurrent.locks.LockSupport;

/** Nanoseconds from the start of a run. */
public final class RunClock {

  private final long start = System.nanoTime();

  /** Returns the time from the start. */
  public long nanos() {
    return System.nanoTime() - start;
  }

  /** Waits for a time from the start; returns at once when it has passed. */
  public void sleepUntil(long nanos) {
    long left = nanos - nanos();
    while (left > 0 && !Thread.currentThread().isInterrupted()) {
      LockSupport.parkNanos(this, left);
      left = nanos - nanos();
    }
  }
}
