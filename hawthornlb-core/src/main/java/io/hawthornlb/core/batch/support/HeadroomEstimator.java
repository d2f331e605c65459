package io.hawthornlb.core.batch.support;

import java.time.Duration;
import java.time.Instant;

/**
 * Estimates how many slots to keep free for online requests that arrive before batch work can be
 * cancelled.
 *
 * <p>The reserve covers the arrivals of one preemption time, but for a small risk that the batch
 * weight sets.
 */
public final class HeadroomEstimator {

  private static final double SLOW_SECONDS = 30;
  private static final double FAST_SECONDS = 1;
  private static final double LEAST_RISK = 0.002;
  private static final double RISK_RANGE = 25;

  private final double preemptSeconds;
  private final double risk;
  private double slow;
  private double fast;
  private Instant at = Instant.MIN;

  /** Creates an estimator for a preemption time and a batch weight. */
  public HeadroomEstimator(Duration preemptTime, double batchWeight) {
    this.preemptSeconds = preemptTime.toMillis() / 1e3;
    this.risk = LEAST_RISK * Math.pow(RISK_RANGE, batchWeight);
  }

  /** Counts online requests that have arrived. */
  public void arrived(int count, Instant now) {
    decay(now);
    slow += count / SLOW_SECONDS;
    fast += count / FAST_SECONDS;
  }

  /** Returns the slots to keep free. */
  public int reserve(Instant now) {
    decay(now);
    double mean = Math.max(slow, fast) * preemptSeconds;
    double probability = Math.exp(-mean);
    double tail = 1 - probability;
    int reserve = 0;
    while (tail > risk && reserve < 1 + 4 * mean) {
      reserve++;
      probability *= mean / reserve;
      tail -= probability;
    }
    return reserve;
  }

  private void decay(Instant now) {
    if (at != Instant.MIN) {
      double seconds = Math.max(0, Duration.between(at, now).toMillis() / 1e3);
      slow *= Math.exp(-seconds / SLOW_SECONDS);
      fast *= Math.exp(-seconds / FAST_SECONDS);
    }
    at = now;
  }
}
