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
 * The one thread that all deciders of an instance are confined to.
 *
 * <p>Tasks are short and never block. A task that fails is logged and stops no other.
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
      executor.execute(guarded(task));
    } catch (RejectedExecutionException e) {
      LOG.log(System.Logger.Level.DEBUG, "loop: stopped, task dropped");
    }
  }

  /** Runs a task once after a delay. */
  public void after(Duration delay, Runnable task) {
    try {
      executor.schedule(guarded(task), delay.toMillis(), TimeUnit.MILLISECONDS);
    } catch (RejectedExecutionException e) {
      LOG.log(System.Logger.Level.DEBUG, "loop: stopped, timer dropped");
    }
  }

  /** Runs a task again and again, with a pause between two runs. */
  public void every(Duration pause, Runnable task) {
    long millis = pause.toMillis();
    executor.scheduleWithFixedDelay(guarded(task), millis, millis, TimeUnit.MILLISECONDS);
  }

  /** Returns a result that a task on the loop sets, now or later. */
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

  private static Runnable guarded(Runnable task) {
    return () -> {
      try {
        task.run();
      } catch (RuntimeException e) {
        LOG.log(System.Logger.Level.ERROR, "loop: a task failed", e);
      }
    };
  }
}
