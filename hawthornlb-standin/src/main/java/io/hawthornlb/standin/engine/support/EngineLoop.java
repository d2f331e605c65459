package io.hawthornlb.standin.engine.support;

import io.hawthornlb.standin.engine.BatchScheduler;
import io.hawthornlb.standin.engine.BatchScheduler.SequenceSpec;
import io.hawthornlb.standin.engine.BatchScheduler.Step;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.locks.Condition;
import java.util.concurrent.locks.LockSupport;
import java.util.concurrent.locks.ReentrantLock;
import java.util.function.Consumer;

/**
 * Runs the steps of a scheduler in real time on one thread.
 *
 * <p>The loop computes the due time of a step from the due time of the previous step, not from the
 * time at which the thread woke up. Late wake-ups therefore do not make the engine slower than its
 * settings say.
 */
final class EngineLoop implements AutoCloseable {

  private static final long MAX_BEHIND_NANOS = 50_000_000;

  private final BatchScheduler scheduler;
  private final long detachedNanos;
  private final Consumer<EngineLoop> afterStep;
  private final Consumer<TokenStream> onEnd;
  private final ReentrantLock lock = new ReentrantLock();
  private final Condition changed = lock.newCondition();
  private final Deque<Runnable> commands = new ArrayDeque<>();
  private final Map<String, Run> runs = new HashMap<>();
  private final TokenRate rate = new TokenRate();
  private final Thread thread;
  private volatile boolean closed;
  private volatile long pausedUntilNanos;

  private record Run(TokenStream stream, int number) {

    String key() {
      return stream.id() + "#" + number;
    }
  }

  EngineLoop(
      String name,
      BatchScheduler scheduler,
      long detachedNanos,
      Consumer<EngineLoop> afterStep,
      Consumer<TokenStream> onEnd) {
    this.scheduler = scheduler;
    this.detachedNanos = detachedNanos;
    this.afterStep = afterStep;
    this.onEnd = onEnd;
    this.thread = new Thread(this::loop, "engine-" + name);
    this.thread.setDaemon(true);
    this.pausedUntilNanos = System.nanoTime();
  }

  void start() {
    thread.start();
  }

  /** Adds a stream to the scheduler; generation continues after its last generated token. */
  void submit(TokenStream stream, boolean contextReady) {
    Run run = new Run(stream, stream.run());
    int done = stream.generated();
    execute(
        () -> {
          runs.put(run.key(), run);
          scheduler.submit(
              new SequenceSpec(run.key(), stream.prompt(), done, contextReady, stream.total()));
        });
  }

  /** Removes a cancelled stream from the scheduler. */
  void remove(TokenStream stream) {
    Run run = new Run(stream, stream.run());
    execute(
        () -> {
          runs.remove(run.key());
          scheduler.cancel(run.key());
        });
  }

  /** Runs a command on the thread of the loop, between two steps. */
  void execute(Runnable command) {
    lock.lock();
    try {
      commands.add(command);
      changed.signal();
    } finally {
      lock.unlock();
    }
  }

  /** Pauses all sequences for the given time from now. */
  void pause(long nanos) {
    pausedUntilNanos = System.nanoTime() + nanos;
  }

  /** Returns the load. Call this method on the thread of the loop only. */
  BatchScheduler.BatchLoad load() {
    return scheduler.load();
  }

  /**
   * Returns the number of tokens generated per second, averaged over about the last second. Call
   * this method on the thread of the loop only.
   */
  double tokensPerSecond() {
    return rate.at(System.nanoTime());
  }

  @Override
  public void close() {
    closed = true;
    execute(() -> {});
  }

  private void loop() {
    long due = System.nanoTime();
    while (!closed) {
      boolean idle = runCommands();
      sleepUntil(pausedUntilNanos);
      if (idle) {
        due = System.nanoTime();
      }
      Step step = scheduler.step();
      long earliest = System.nanoTime() - MAX_BEHIND_NANOS;
      due = Math.max(due, earliest) + step.nanos();
      sleepUntil(due);
      deliver(step);
      afterStep.accept(this);
    }
  }

  /**
   * Runs the queued commands. If there are no streams to run, waits for a command first. Returns
   * whether there were no streams.
   */
  private boolean runCommands() {
    List<Runnable> taken;
    boolean idle = runs.isEmpty();
    lock.lock();
    try {
      while (idle && commands.isEmpty()) {
        changed.awaitUninterruptibly();
      }
      taken = new ArrayList<>(commands);
      commands.clear();
    } finally {
      lock.unlock();
    }
    taken.forEach(Runnable::run);
    return idle;
  }

  private void deliver(Step step) {
    int delivered = 0;
    for (String key : step.tokens()) {
      Run run = runs.get(key);
      if (run != null && run.stream().add(run.number())) {
        delivered++;
      }
    }
    for (String key : step.finished()) {
      Run run = runs.remove(key);
      if (run != null) {
        end(run);
      }
    }
    rate.add(delivered, System.nanoTime());
    cancelDetached();
  }

  private void cancelDetached() {
    for (Run run : List.copyOf(runs.values())) {
      if (run.stream().detached(detachedNanos)) {
        run.stream().cancel();
        runs.remove(run.key());
        scheduler.cancel(run.key());
        end(run);
      }
    }
  }

  private void end(Run run) {
    if (run.stream().endRun(run.number())) {
      onEnd.accept(run.stream());
    }
  }

  private void sleepUntil(long dueNanos) {
    long left = dueNanos - System.nanoTime();
    while (left > 0 && !closed) {
      LockSupport.parkNanos(this, left);
      left = dueNanos - System.nanoTime();
    }
  }
}
