package io.hawthornlb.gateway.event;

import java.time.Duration;
import java.util.List;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;

/**
 * Writes lines about the whole process every few seconds, so that a process that is killed has left
 * some.
 */
public final class PeriodicLines {

  private static final Duration INTERVAL = Duration.ofSeconds(5);

  private final ScheduledExecutorService executor;
  private final List<Runnable> writers;

  /** Creates periodic lines that are written on the executor, one by each writer. */
  public PeriodicLines(ScheduledExecutorService executor, List<Runnable> writers) {
    this.executor = executor;
    this.writers = List.copyOf(writers);
  }

  /** Starts writing the lines every few seconds. */
  public void start() {
    executor.schedule(this::writeAndReschedule, INTERVAL.toMillis(), TimeUnit.MILLISECONDS);
  }

  private void writeAndReschedule() {
    write();
    start();
  }

  /** Writes the lines immediately. */
  public void write() {
    writers.forEach(Runnable::run);
  }
}
