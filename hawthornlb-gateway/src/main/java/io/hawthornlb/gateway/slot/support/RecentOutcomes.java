package io.hawthornlb.gateway.slot.support;

import java.time.Duration;
import java.time.Instant;

/**
 * Weighted recent outcomes of the uses of one endpoint; older outcomes weigh less.
 *
 * @param all total weight of all outcomes
 * @param failed total weight of the failures
 * @param consecutiveFailures number of failures since the last success of a use that began after
 *     the first of these failures
 * @param failingSince time of the first of the consecutive failures
 * @param at time for which the weights hold
 */
record RecentOutcomes(
    double all, double failed, int consecutiveFailures, Instant failingSince, Instant at) {

  /**
   * Time in which an outcome loses half of its weight; an endpoint has many outcomes in this time.
   */
  private static final Duration HALF_LIFE = Duration.ofSeconds(2);

  /**
   * Smallest total weight for which the share of failures is meaningful; a single failure often is
   * just one broken connection.
   */
  private static final double MIN_WEIGHT = 2.5;

  /** Returns an instance without outcomes. */
  static RecentOutcomes none(Instant now) {
    return new RecentOutcomes(0, 0, 0, now, now);
  }

  /**
   * Returns these outcomes and one success. A use that began before the first of the consecutive
   * failures does not end their sequence.
   */
  RecentOutcomes succeeded(Instant since, Instant now) {
    double left = decay(now);
    boolean endsFailures = !since.isBefore(failingSince);
    return new RecentOutcomes(
        all * left + 1, failed * left, endsFailures ? 0 : consecutiveFailures, failingSince, now);
  }

  /** Returns these outcomes and one failure. */
  RecentOutcomes failed(Instant now) {
    double left = decay(now);
    return new RecentOutcomes(
        all * left + 1,
        failed * left + 1,
        consecutiveFailures + 1,
        consecutiveFailures == 0 ? now : failingSince,
        now);
  }

  /** Returns these outcomes and a hint of a failure. */
  RecentOutcomes hinted(double weight, Instant now) {
    double left = decay(now);
    return new RecentOutcomes(
        all * left + weight, failed * left + weight, consecutiveFailures, failingSince, now);
  }

  /** Returns an instance with nothing but the count of consecutive failures. */
  RecentOutcomes consecutiveFailuresOnly() {
    return new RecentOutcomes(0, 0, consecutiveFailures, failingSince, at);
  }

  /**
   * Returns whether at least the given share of the outcomes are failures, provided that there are
   * enough outcomes to decide.
   */
  boolean failedShare(double share) {
    return all >= MIN_WEIGHT && failed >= share * all;
  }

  private double decay(Instant now) {
    double passed = Duration.between(at, now).toMillis();
    return Math.pow(0.5, passed / HALF_LIFE.toMillis());
  }
}
