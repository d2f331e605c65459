package io.hawthornlb.gateway.slot.support;

import java.time.Duration;
import java.time.Instant;

/**
 * Ends of uses of one endpoint by weight, as of a moment; older ones count for less.
 *
 * @param all weight of all ends
 * @param failed weight of those that failed
 * @param row failures since the last success of a use that began after the first of them
 * @param rowSince when the first of these failed
 * @param at moment for which the weights hold
 */
record RecentEnds(double all, double failed, int row, Instant rowSince, Instant at) {

  /** Time in which an end loses half of its weight; an endpoint has many ends in it. */
  private static final Duration HALF_LIFE = Duration.ofSeconds(2);

  /** Weight of ends from which on a share says something; one failure alone is often a cut. */
  private static final double LEAST_ENDS = 2.5;

  /** Returns that nothing has ended. */
  static RecentEnds none(Instant now) {
    return new RecentEnds(0, 0, 0, now, now);
  }

  /** Returns the ends with one more, which succeeded; uses that began before a row say nothing. */
  RecentEnds succeeded(Instant since, Instant now) {
    double left = weightLeft(now);
    boolean endsRow = !since.isBefore(rowSince);
    return new RecentEnds(all * left + 1, failed * left, endsRow ? 0 : row, rowSince, now);
  }

  /** Returns the ends with one more, which failed. */
  RecentEnds failed(Instant now) {
    double left = weightLeft(now);
    return new RecentEnds(
        all * left + 1, failed * left + 1, row + 1, row == 0 ? now : rowSince, now);
  }

  /** Returns the ends with a hint of a failure. */
  RecentEnds hinted(double weight, Instant now) {
    double left = weightLeft(now);
    return new RecentEnds(all * left + weight, failed * left + weight, row, rowSince, now);
  }

  /** Returns the failures in a row alone. */
  RecentEnds rowAlone() {
    return new RecentEnds(0, 0, row, rowSince, at);
  }

  /** Returns whether at least a share of the ends failed, if there are enough to tell. */
  boolean failedShare(double share) {
    return all >= LEAST_ENDS && failed >= share * all;
  }

  private double weightLeft(Instant now) {
    double passed = Duration.between(at, now).toMillis();
    return Math.pow(0.5, passed / HALF_LIFE.toMillis());
  }
}
