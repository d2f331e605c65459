package io.hawthornlb.gateway.job;

import java.time.Duration;
import java.time.Instant;

/**
 * Estimates how long items run, and ranks waiting items by whether they can still meet their due
 * time.
 *
 * <p>After an outage more items wait than can be completed in time. If the items got slots strictly
 * in the order of their due times, each item would get its slot just too late, and all items would
 * be late. Therefore items that can no longer meet their due time rank behind all items that can.
 * The late items run in the capacity that is left.
 */
final class RunEstimate {

  /** Weight of the newest item in the moving average; about the last ten items count. */
  private static final double SMOOTHING = 0.1;

  /**
   * Run time that is assumed before the first item completes; matches an item of some 200 events.
   */
  private static final double FIRST_RUN_MILLIS = 4_200;

  private static final double FIRST_EVENTS = 200;

  /**
   * Smallest share of the mean run time that an unfinished item is assumed to need still. The
   * length of an item is not known in advance.
   */
  private static final double MIN_REMAINING_SHARE = 0.15;

  /** Added to the rank of an item that cannot meet its due time; longer than any job lasts. */
  private static final Duration LATE_RANK_OFFSET = Duration.ofHours(1);

  private double runMillis = FIRST_RUN_MILLIS;
  private double events = FIRST_EVENTS;

  /**
   * Updates the averages with a completed item.
   *
   * @param ran total time for which the item ran
   * @param eventCount number of events that the item produced
   */
  void recordCompletion(Duration ran, long eventCount) {
    runMillis += SMOOTHING * (ran.toMillis() - runMillis);
    events += SMOOTHING * (eventCount - events);
  }

  /** Returns the estimated remaining run time of an item that has produced some events. */
  Duration remaining(long eventsSoFar) {
    double share = Math.max(MIN_REMAINING_SHARE, 1 - Math.max(0, eventsSoFar) / events);
    return Duration.ofMillis((long) (share * runMillis));
  }

  /** Returns the rank of a waiting item; the item with the lowest rank goes first. */
  long rank(Instant due, long eventsSoFar, Instant now) {
    return rank(due, remaining(eventsSoFar), now);
  }

  /** Returns the rank of a waiting item that still has to run for some time. */
  static long rank(Instant due, Duration remaining, Instant now) {
    boolean inTime = !now.plus(remaining).isAfter(due);
    return (inTime ? due : due.plus(LATE_RANK_OFFSET)).toEpochMilli();
  }
}
