package io.hawthornlb.gateway.front;

import io.hawthornlb.gateway.store.LogFreshness;
import java.time.Duration;
import java.time.Instant;
import java.util.concurrent.Future;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import org.jspecify.annotations.Nullable;

/**
 * Determines whether the local configuration is recent enough to reject a request permanently.
 *
 * <p>If the process has not read the configuration for some time, its copy may lack a route that
 * was added meanwhile. A 404 based on that copy makes the caller give the request up. The gateway
 * therefore rejects a request permanently only if the copy has every change that must be in force
 * when the request arrived; otherwise it reads the configuration again first.
 *
 * <p>Requests without a route may come by the thousands. Concurrent requests share one read. After
 * a read, no further one is needed for almost the change time, so few requests wait.
 */
public final class ConfigFreshness {

  /** Longest time that a request waits for a read; a slow store answers in 240 ms. */
  static final Duration MAX_WAIT = Duration.ofMillis(300);

  /** Maximum number of requests that wait at the same time. */
  static final int MAX_WAITING = 256;

  /**
   * Retry-After of a request refused while the configuration may be stale; a read takes about 10
   * ms.
   */
  static final Duration RETRY = Duration.ofMillis(300);

  /**
   * Part of the change time that is reserved for clock differences and for the delay of the store's
   * answer.
   */
  private static final Duration MARGIN = Duration.ofMillis(200);

  private final LogFreshness proof;
  private final Duration changeTime;
  private final ScheduledExecutorService executor;
  private int waiting;

  /**
   * Creates a check that does all its work on the executor.
   *
   * @param proof reports up to which moment the configuration is known to be complete
   * @param changeTime time within which a change must be in force everywhere
   */
  public ConfigFreshness(
      LogFreshness proof, Duration changeTime, ScheduledExecutorService executor) {
    this.proof = proof;
    this.changeTime = changeTime;
    this.executor = executor;
  }

  /**
   * Returns a check that takes a list for current at a moment only if it was read since.
   *
   * @param proof reports up to which moment the list is known to be complete
   */
  public static ConfigFreshness ofList(LogFreshness proof, ScheduledExecutorService executor) {
    return new ConfigFreshness(proof, MARGIN, executor);
  }

  /** Returns the moment up to which all changes of the configuration are known. */
  Instant freshAsOf() {
    return proof.freshAsOf();
  }

  /** Returns whether all changes that must be in force at a moment are known. */
  boolean isCurrentAt(Instant moment) {
    Instant latest = moment.minus(changeTime).plus(MARGIN);
    return !proof.freshAsOf().isBefore(latest);
  }

  /**
   * Reads the configuration again, and runs the action once the configuration is current at the
   * moment, the read fails or {@link #MAX_WAIT} is over. Runs the action at once if {@link
   * #MAX_WAITING} requests wait already.
   */
  void refreshFor(Instant moment, Runnable action) {
    if (waiting < MAX_WAITING) {
      new Wait(moment, action).start();
    } else {
      action.run();
    }
  }

  /** A request that waits for the configuration to be read. */
  private final class Wait {

    private final Instant moment;
    private final Runnable action;
    private @Nullable Future<?> timer;
    private boolean ended;

    private Wait(Instant moment, Runnable action) {
      this.moment = moment;
      this.action = action;
    }

    private void start() {
      waiting++;
      timer = executor.schedule(this::end, MAX_WAIT.toMillis(), TimeUnit.MILLISECONDS);
      read();
    }

    private void read() {
      proof.refresh().whenComplete((any, failure) -> answered(failure));
    }

    private void answered(@Nullable Throwable failure) {
      if (ended) {
        return;
      }
      if (failure != null || isCurrentAt(moment)) {
        end();
      } else {
        read();
      }
    }

    private void end() {
      if (ended) {
        return;
      }
      ended = true;
      waiting--;
      Future<?> running = timer;
      if (running != null) {
        running.cancel(false);
      }
      action.run();
    }
  }
}
