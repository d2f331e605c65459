package io.hawthornlb.standin.engine.support;

/** The token rate as an exponentially weighted average over about the last second. */
final class TokenRate {

  private static final double NANOS_PER_SECOND = 1e9;

  private double rate;
  private long updatedNanos;

  /** Adds tokens that were generated at the given time. */
  void add(int tokens, long nowNanos) {
    rate = at(nowNanos) + tokens;
    updatedNanos = nowNanos;
  }

  /** Returns the number of tokens per second at the given time. */
  double at(long nowNanos) {
    return rate * Math.exp(-(nowNanos - updatedNanos) / NANOS_PER_SECOND);
  }
}
