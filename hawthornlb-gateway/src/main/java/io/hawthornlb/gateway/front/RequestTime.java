package io.hawthornlb.gateway.front;

import io.hawthornlb.gateway.route.Route;
import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;

/** How long a request may take, and how much of that it may wait for a slot. */
final class RequestTime {

  /** Part of the objective that a request may wait for a slot. The rest is for the answer. */
  private static final double WAIT_SHARE = 0.5;

  /**
   * Longest wait of a request that was turned away by endpoints before. A new attempt of its caller
   * would be late as well, so a late answer from here is worth more than a refusal.
   */
  private static final Duration LATE_WAIT = Duration.ofMillis(600);

  /** Least time left for which another endpoint is tried. */
  private static final Duration MIN_ATTEMPT = Duration.ofMillis(20);

  private final Route route;
  private final Instant arrived;
  private final Instant deadline;
  private final InstantSource clock;

  /**
   * Creates the time of a request.
   *
   * @param allowed time from its arrival until its caller leaves
   */
  RequestTime(Route route, Instant arrived, Duration allowed, InstantSource clock) {
    this.route = route;
    this.arrived = arrived;
    this.deadline = arrived.plus(allowed);
    this.clock = clock;
  }

  /** Returns the time until the caller leaves. */
  Duration left() {
    return Duration.between(clock.instant(), deadline);
  }

  /** Returns whether there is time for another endpoint. */
  boolean allowsAttempt() {
    return left().compareTo(MIN_ATTEMPT) > 0;
  }

  /** Returns the milliseconds since the request came. */
  long sinceArrival() {
    return Duration.between(arrived, clock.instant()).toMillis();
  }

  /**
   * Returns how long the request may wait for a slot.
   *
   * @param begun whether the caller has part of the answer, or may not be told that nothing ran: a
   *     late end beats none
   * @param turnedAway whether endpoints turned it away
   */
  Duration maxWait(boolean begun, boolean turnedAway) {
    if (begun) {
      return left();
    }
    if (turnedAway) {
      return LATE_WAIT.compareTo(left()) < 0 ? LATE_WAIT : left();
    }
    long millis = (long) (route.objective().toMillis() * WAIT_SHARE) - sinceArrival();
    return Duration.ofMillis(Math.max(0, millis));
  }

  /**
   * Returns how long a caller that comes back for the last time may wait: a late answer beats none.
   */
  Duration patience(Duration maxWait) {
    Duration latest = left().minus(route.objective());
    return latest.compareTo(maxWait) > 0 ? latest : maxWait;
  }
}
