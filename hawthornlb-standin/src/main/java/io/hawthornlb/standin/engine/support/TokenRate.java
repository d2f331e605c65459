package io.hawthornlb.standin.engine.support;

/** A rate over about the last second. */
final class TokenRate {

  private static final double NANOS_PER_SECOND = 1e9;

  private double rate;
  private long updatedNanos;

  /** Counts tokens that came at this time. */
  void add(int tokens, long nowNanos) {
    rate = at(nowNanos) + tokens;
    updatedNanos = nowNanos;
  }

  /** Returns the tokens a second. */
  double at(long nowNanos) {
    return rate * Math.exp(-(nowNanos - updatedNanos) / NANOS_PER_SECOND);
  }
}
