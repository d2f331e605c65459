package io.hawthornlb.gateway.front;

import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;

/**
 * Decides which new connections are closed unread because this process is behind.
 *
 * <p>Answers the load in which a balancer hands most new connections of many processes to this one.
 * Callers whose connection is closed at once go to another process; those whose request is read
 * late have left before they are answered, and the work for them delays all others.
 *
 * <p>While few connections come, nothing is measured.
 */
final class AcceptThrottle {

  /** Span over which connections are counted. */
  private static final Duration SPAN = Duration.ofMillis(25);

  /** Connections of a span that are always accepted. */
  static final int ALWAYS_ACCEPTED = 8;

  /** Connections of a span from which on the process measures whether it is behind. */
  private static final int MEASURED_FROM = 4;

  /** Time after which a check is due. */
  private static final Duration CHECK_AFTER = Duration.ofMillis(20);

  /** Delay of a check from which on the process is behind; a third of a usual objective. */
  static final Duration BEHIND = Duration.ofMillis(100);

  private final ScheduledExecutorService executor;
  private final InstantSource clock;
  private Instant spanEnd = Instant.MIN;
  private int accepted;
  private boolean checking;
  private Instant checkDue = Instant.MAX;
  private boolean behind;
  private long refused;

  /** Creates a throttle that is used on the executor only. */
  AcceptThrottle(ScheduledExecutorService executor, InstantSource clock) {
    this.executor = executor;
    this.clock = clock;
  }

  /** Returns whether one more connection may be accepted. */
  boolean admit() {
    Instant now = clock.instant();
    if (!now.isBefore(spanEnd)) {
      spanEnd = now.plus(SPAN);
      accepted = 0;
    }
    if (accepted < ALWAYS_ACCEPTED || !behind(now)) {
      accepted++;
      if (accepted >= MEASURED_FROM && !checking) {
        check(now);
      }
      return true;
    }
    refused++;
    return false;
  }

  /** Returns the number of connections that were refused since the last call. */
  long takeRefused() {
    long taken = refused;
    refused = 0;
    return taken;
  }

  private boolean behind(Instant now) {
    return behind || late(now);
  }

  private boolean late(Instant now) {
    return checking && now.isAfter(checkDue.plus(BEHIND));
  }

  private void check(Instant now) {
    checking = true;
    checkDue = now.plus(CHECK_AFTER);
    executor.schedule(this::onCheck, CHECK_AFTER.toMillis(), TimeUnit.MILLISECONDS);
  }

  private void onCheck() {
    Instant now = clock.instant();
    behind = late(now);
    checking = false;
    if (behind || accepted >= MEASURED_FROM) {
      check(now);
    }
  }
}
