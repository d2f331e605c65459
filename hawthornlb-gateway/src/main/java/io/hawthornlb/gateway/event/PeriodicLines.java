package io.hawthornlb.gateway.event;

import java.time.Duration;
import java.util.List;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;

/**
 * Has lines about a whole process written every few seconds, so that one that is killed left some.
 */
public final class PeriodicLines {

  private static final Duration EVERY = Duration.ofSeconds(5);

  private final ScheduledExecutorService executor;
  private final List<Runnable> writers;

  /** Creates lines that are written on an executor, one by each writer. */
  public PeriodicLines(ScheduledExecutorService executor, List<Runnable> writers) {
    this.executor = executor;
    this.writers = List.copyOf(writers);
  }

  /** Writes the lines every few seconds from now on. */
  public void start() {
    executor.schedule(this::next, EVERY.toMillis(), TimeUnit.MILLISECONDS);
  }

  private void next() {
    write();
    start();
  }

  /** Writes the lines now. */
  public void write() {
    writers.forEach(Runnable::run);
  }
}
