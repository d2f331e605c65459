package io.hawthornlb.standin.support;

import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;

/** A token bucket: limits calls to a rate and allows bursts. Thread-safe. */
public final class TokenBucket {

  private static final double NANOS_PER_SECOND = 1e9;

  private final double perSecond;
  private final double burst;
  private final InstantSource clock;
  private double tokens;
  private Instant filledAt;

  /** Creates a bucket that is full. */
  public TokenBucket(double perSecond, double burst, InstantSource clock) {
    SettingsChecks.positive(perSecond, "perSecond");
    SettingsChecks.isTrue(burst >= 1, "burst must be at least 1, was " + burst);
    this.perSecond = perSecond;
    this.burst = burst;
    this.clock = clock;
    this.tokens = burst;
    this.filledAt = clock.instant();
  }

  /**
   * Takes a token and returns zero. If no token is available, takes none and returns the time until
   * the next token is available.
   */
  public synchronized Duration tryTake() {
    Instant now = clock.instant();
    double elapsed = Duration.between(filledAt, now).toNanos() / NANOS_PER_SECOND;
    tokens = Math.min(burst, tokens + Math.max(0, elapsed) * perSecond);
    filledAt = now;
    if (tokens >= 1) {
      tokens--;
      return Duration.ZERO;
    }
    return Duration.ofNanos((long) Math.ceil((1 - tokens) / perSecond * NANOS_PER_SECOND));
  }
}
