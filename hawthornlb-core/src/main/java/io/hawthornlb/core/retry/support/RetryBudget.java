package io.hawthornlb.core.retry.support;

import io.hawthornlb.core.retry.RetrySettings;
import java.time.Duration;
import java.time.Instant;

/**
 * Retry budget, a token bucket that is refilled by first attempts and over time.
 *
 * <p>Each entry instance earns its budget from its own requests. The retries of the whole fleet
 * therefore stay within a fixed fraction of the requests of the fleet. This needs no communication
 * between instances and also holds during a network partition.
 */
final class RetryBudget {

  private final RetrySettings settings;
  private double tokens;
  private Instant updatedAt = Instant.MIN;

  RetryBudget(RetrySettings settings) {
    this.settings = settings;
    this.tokens = settings.burst();
  }

  void earn(Instant now) {
    advance(now);
    tokens = Math.min(settings.burst(), tokens + settings.ratio());
  }

  boolean take(Instant now) {
    advance(now);
    if (tokens < 1) {
      return false;
    }
    tokens -= 1;
    return true;
  }

  private void advance(Instant now) {
    if (updatedAt != Instant.MIN) {
      double seconds = Math.max(0, Duration.between(updatedAt, now).toMillis() / 1e3);
      tokens = Math.min(settings.burst(), tokens + seconds * settings.minPerSecond());
    }
    updatedAt = now;
  }
}
