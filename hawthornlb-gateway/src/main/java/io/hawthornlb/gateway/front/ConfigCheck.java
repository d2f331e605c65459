package io.hawthornlb.gateway.front;

import io.hawthornlb.gateway.store.LogFreshness;
import java.time.Duration;
import java.time.Instant;
import java.util.concurrent.Future;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import org.jspecify.annotations.Nullable;

/**
 * Tells whether the configuration may be relied on to refuse a request for good.
 *
 * <p>Failure: the configuration was not read for some time, and is not the one in force. It shows
 * as a 404 for a route that was added meanwhile, by which the caller gives the request up. Guard:
 * what the configuration lacks is refused for good only if no change can be missing that was to be
 * in force when the request came; otherwise it is read again first.
 *
 * <p>Load pattern: requests without a route come in thousands. They share one read, after which
 * none is due for nearly the time of a change, and few of them wait.
 */
public final class ConfigCheck {

  /** Longest time that a request waits; a slow store answers in 240 ms. */
  static final Duration LONGEST_WAIT = Duration.ofMillis(300);

  /** Requests that wait at a time. */
  static final int MAX_WAITING = 256;

  /** When to come back while the configuration may be old; a read takes some 10 ms. */
  static final Duration RETRY = Duration.ofMillis(300);

  /** Part of the time for a change that is left for what the clock and the answer may differ by. */
  private static final Duration MARGIN = Duration.ofMillis(200);

  private final LogFreshness proof;
  private final Duration changeTime;
  private final ScheduledExecutorService executor;
  private int waiting;

  /**
   * Creates a check; all its work happens on the executor.
   *
   * @param proof tells how fresh the configuration is
   * @param changeTime time within which a change is to be in force everywhere
   */
  public ConfigCheck(LogFreshness proof, Duration changeTime, ScheduledExecutorService executor) {
    this.proof = proof;
    this.changeTime = changeTime;
    this.executor = executor;
  }

  /** Returns a moment before which no change was made that is not known. */
  Instant freshAsOf() {
    return proof.freshAsOf();
  }

  /** Returns whether all changes are known that are to be in force at a moment. */
  boolean holdsAt(Instant moment) {
    Instant latest = moment.minus(changeTime).plus(MARGIN);
    return !proof.freshAsOf().isBefore(latest);
  }

  /** Reads the configuration again, and acts when it holds at a moment or cannot be read. */
  void renew(Instant moment, Runnable action) {
    if (waiting < MAX_WAITING) {
      new Wait(moment, action).start();
    } else {
      action.run();
    }
  }

  /** A request that waits. */
  private final class Wait {

    private final Instant moment;
    private final Runnable action;
    private @Nullable Future<?> timer;
    private boolean over;

    private Wait(Instant moment, Runnable action) {
      this.moment = moment;
      this.action = action;
    }

    private void start() {
      waiting++;
      timer = executor.schedule(this::end, LONGEST_WAIT.toMillis(), TimeUnit.MILLISECONDS);
      read();
    }

    private void read() {
      proof.refresh().whenComplete((any, failure) -> answered(failure));
    }

    private void answered(@Nullable Throwable failure) {
      if (over) {
        return;
      }
      if (failure != null || holdsAt(moment)) {
        end();
      } else {
        read();
      }
    }

    private void end() {
      if (over) {
        return;
      }
      over = true;
      waiting--;
      Future<?> running = timer;
      if (running != null) {
        running.cancel(false);
      }
      action.run();
    }
  }
}
