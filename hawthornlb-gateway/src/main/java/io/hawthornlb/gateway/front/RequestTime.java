package io.hawthornlb.gateway.front;

import io.hawthornlb.gateway.route.Route;
import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;

/** Time budget of a request, and the share of it that may be spent waiting for a slot. */
final class RequestTime {

  /** Share of the objective that a request may wait for a slot. The rest is for the response. */
  private static final double WAIT_SHARE = 0.5;

  /**
   * Longest wait of a request that endpoints rejected before. A new attempt by the caller would be
   * late as well, so a late response is worth more than a refusal.
   */
  private static final Duration LATE_WAIT = Duration.ofMillis(600);

  /** Minimum remaining time for which another endpoint is tried. */
  private static final Duration MIN_ATTEMPT = Duration.ofMillis(20);

  private final Route route;
  private final Instant arrived;
  private final Instant deadline;
  private final InstantSource clock;

  /**
   * Creates the time budget of a request.
   *
   * @param allowed time from the arrival of the request until its caller gives up
   */
  RequestTime(Route route, Instant arrived, Duration allowed, InstantSource clock) {
    this.route = route;
    this.arrived = arrived;
    this.deadline = arrived.plus(allowed);
    this.clock = clock;
  }

  /** Returns the time until the caller gives up. */
  Duration left() {
    return Duration.between(clock.instant(), deadline);
  }

  /** Returns whether there is time to try another endpoint. */
  boolean allowsAttempt() {
    return left().compareTo(MIN_ATTEMPT) > 0;
  }

  /** Returns the milliseconds since the request arrived. */
  long sinceArrival() {
    return Duration.between(arrived, clock.instant()).toMillis();
  }

  /**
   * Returns how long the request may wait for a slot.
   *
   * @param begun whether the caller has part of the response, or the request may have run so that
   *     the caller must not be told otherwise; the whole remaining time is allowed then, because a
   *     late end is better than none
   * @param rejections whether endpoints rejected the request
   */
  Duration maxWait(boolean begun, boolean rejections) {
    if (begun) {
      return left();
    }
    if (rejections) {
      return LATE_WAIT.compareTo(left()) < 0 ? LATE_WAIT : left();
    }
    long millis = (long) (route.objective().toMillis() * WAIT_SHARE) - sinceArrival();
    return Duration.ofMillis(Math.max(0, millis));
  }

  /**
   * Returns how long the last attempt of a caller may wait for a slot: a late response is better
   * than none.
   */
  Duration patience(Duration maxWait) {
    Duration latest = left().minus(route.objective());
    return latest.compareTo(maxWait) > 0 ? latest : maxWait;
  }
}
