package io.hawthornlb.gateway.job;

import java.time.Duration;
import java.time.Instant;

/**
 * Learns how long items run, and tells which of them can still be done by their due time.
 *
 * <p>Load pattern: after an outage more items wait than can be done in time. In the order of their
 * due times each gets its slot just too late, and all are late. Items that can no longer be in time
 * go behind those that can, and are done in what is left.
 */
final class RunEstimate {

  /** Weight of the newest item; about the last ten count. */
  private static final double SMOOTHING = 0.1;

  /** Assumed before the first item is done; an item of some 200 events. */
  private static final double FIRST_RUN_MILLIS = 4_200;

  private static final double FIRST_EVENTS = 200;

  /** Part of a mean run that is left at least, since the length of an item is not known before. */
  private static final double LEAST_LEFT = 0.15;

  /** Added to the rank of an item that cannot be in time; longer than any job lasts. */
  private static final Duration BEHIND = Duration.ofHours(1);

  private double runMillis = FIRST_RUN_MILLIS;
  private double events = FIRST_EVENTS;

  /** Takes an item that is done: how long it ran in all, and its number of events. */
  void done(Duration ran, long eventCount) {
    runMillis += SMOOTHING * (ran.toMillis() - runMillis);
    events += SMOOTHING * (eventCount - events);
  }

  /** Returns the time for which an item with some events will run. */
  Duration left(long eventsSoFar) {
    double share = Math.max(LEAST_LEFT, 1 - Math.max(0, eventsSoFar) / events);
    return Duration.ofMillis((long) (share * runMillis));
  }

  /** Returns the rank of an item among those that wait; the lowest goes first. */
  long rank(Instant due, long eventsSoFar, Instant now) {
    boolean inTime = !now.plus(left(eventsSoFar)).isAfter(due);
    return (inTime ? due : due.plus(BEHIND)).toEpochMilli();
  }
}
