package io.hawthornlb.app.entry;

import java.time.Duration;
import java.util.concurrent.Executor;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.ScheduledThreadPoolExecutor;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import reactor.core.publisher.Mono;
import reactor.core.publisher.MonoSink;

/**
 * The single thread to which all decision logic of an instance is confined.
 *
 * <p>Tasks must be short and must not block. A task that throws an exception is logged and does not
 * affect other tasks.
 */
public final class DecisionLoop implements Executor, AutoCloseable {

  private static final System.Logger LOG = System.getLogger(DecisionLoop.class.getName());
  private static final String THREAD_NAME = "decisions";

  private final ScheduledThreadPoolExecutor executor;

  /** Starts the thread. */
  public DecisionLoop() {
    executor =
        new ScheduledThreadPoolExecutor(
            1,
            task -> {
              Thread thread = new Thread(task, THREAD_NAME);
              thread.setDaemon(true);
              return thread;
            });
    executor.setRemoveOnCancelPolicy(true);
    executor.setExecuteExistingDelayedTasksAfterShutdownPolicy(false);
  }

  @Override
  public void execute(Runnable task) {
    try {
      executor.execute(logFailures(task));
    } catch (RejectedExecutionException e) {
      LOG.log(System.Logger.Level.DEBUG, "loop: stopped, dropping a task");
    }
  }

  /** Runs a task once after a delay. */
  public void after(Duration delay, Runnable task) {
    try {
      executor.schedule(logFailures(task), delay.toMillis(), TimeUnit.MILLISECONDS);
    } catch (RejectedExecutionException e) {
      LOG.log(System.Logger.Level.DEBUG, "loop: stopped, dropping a delayed task");
    }
  }

  /** Runs a task repeatedly, with a fixed delay between the end of a run and the next start. */
  public void every(Duration pause, Runnable task) {
    long millis = pause.toMillis();
    executor.scheduleWithFixedDelay(logFailures(task), millis, millis, TimeUnit.MILLISECONDS);
  }

  /**
   * Runs a task on the loop and returns the result that the task emits to its sink, immediately or
   * later.
   */
  public <T> Mono<T> ask(Consumer<MonoSink<T>> task) {
    return Mono.create(
        sink ->
            execute(
                () -> {
                  try {
                    task.accept(sink);
                  } catch (RuntimeException e) {
                    sink.error(e);
                  }
                }));
  }

  @Override
  public void close() {
    executor.shutdown();
  }

  private static Runnable logFailures(Runnable task) {
    return () -> {
      try {
        task.run();
      } catch (RuntimeException e) {
        LOG.log(System.Logger.Level.ERROR, "loop: a task failed", e);
      }
    };
  }
}
