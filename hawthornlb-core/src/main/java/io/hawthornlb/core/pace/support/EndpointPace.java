package io.hawthornlb.core.pace.support;

import java.time.Duration;
import java.time.Instant;

/** What an {@link ObservedPaceTable} knows of one endpoint. */
final class EndpointPace {

  /** Time for which a report counts; endpoints that turn slow stay so for about as long. */
  private static final long REPORT_VALID_MILLIS = 600;

  /**
   * Least weight of a completed use; about the last 100 count. At 6 uses a second and endpoint
   * these are 16 s, in which the spells of 600 ms and the unequal lengths of requests average out.
   */
  private static final double MIN_WEIGHT = 0.01;

  /**
   * Number of uses that the initial value counts for, so that the first use of a new endpoint does
   * not determine its pace.
   */
  private static final int INITIAL_USES = 2;

  private double logRatio;
  private double ratio;
  private int completions;
  private double reported = 1;
  private long reportedAt;
  private Instant updated;
  private boolean usual = true;
  private Instant announced = Instant.MIN;

  /** Creates the pace of an endpoint that has shown none. */
  EndpointPace(Instant now) {
    updated = now;
  }

  /** Returns the average ratio of actual to estimated time; 0 without completed uses. */
  double ratio() {
    return ratio;
  }

  int completions() {
    return completions;
  }

  boolean isOlderThan(Instant time) {
    return updated.isBefore(time);
  }

  void reported(double slowdown, Instant now) {
    reported = slowdown;
    reportedAt = now.toEpochMilli();
    updated = now;
  }

  /**
   * Averages the ratio of a completed use, in the logarithm so that uses of twice and of half the
   * estimated time cancel out.
   *
   * @param initial ratio to start from at the first use
   */
  void completed(double useRatio, double initial, Instant now) {
    if (completions == 0) {
      logRatio = Math.log(initial);
    }
    double weight = Math.max(MIN_WEIGHT, 1.0 / (completions + 1 + INITIAL_USES));
    logRatio += weight * (Math.log(useRatio) - logRatio);
    ratio = Math.exp(logRatio);
    completions++;
    updated = now;
  }

  void restore(double restoredRatio, int uses, Instant now) {
    ratio = restoredRatio;
    logRatio = Math.log(restoredRatio);
    completions = uses;
    updated = now;
  }

  /**
   * Returns the expected slowdown at this moment: that of the last report, with a weight that
   * decreases with its age, because the machine may have recovered since.
   */
  double slowdown(Instant now) {
    if (reported == 1) {
      return 1;
    }
    long age = now.toEpochMilli() - reportedAt;
    if (age < 0 || age >= REPORT_VALID_MILLIS) {
      return 1;
    }
    return 1 + (reported - 1) * (REPORT_VALID_MILLIS - age) / REPORT_VALID_MILLIS;
  }

  /**
   * Records whether the long-term factor is in the usual range; returns whether that is a change to
   * announce, at most one within a time.
   */
  boolean changes(boolean nowUsual, Duration atMostEvery, Instant now) {
    if (nowUsual == usual || now.isBefore(announced.plus(atMostEvery))) {
      return false;
    }
    usual = nowUsual;
    announced = now;
    return true;
  }
}
