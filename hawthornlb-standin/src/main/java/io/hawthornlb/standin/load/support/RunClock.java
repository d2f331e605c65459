package io.hawthornlb.standin.load.support;

import java.util.concurrent.locks.LockSupport;

/** A monotonic clock that counts nanoseconds from the start of a run. */
public final class RunClock {

  private final long start = System.nanoTime();

  /** Returns the time since the start of the run in nanoseconds. */
  public long nanos() {
    return System.nanoTime() - start;
  }

  /** Waits until a time since the start; returns early if the thread is interrupted. */
  public void sleepUntil(long nanos) {
    long remaining = nanos - nanos();
    while (remaining > 0 && !Thread.currentThread().isInterrupted()) {
      LockSupport.parkNanos(this, remaining);
      remaining = nanos - nanos();
    }
  }
}
