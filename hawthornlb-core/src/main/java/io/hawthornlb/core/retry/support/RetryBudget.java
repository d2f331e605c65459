package io.hawthornlb.core.retry.support;

import io.hawthornlb.core.retry.RetrySettings;
import java.time.Duration;
import java.time.Instant;

/**
 * Budget earned by first attempts.
 *
 * <p>Each entry earns from its own requests, so the sum over the fleet is a fixed part of the
 * fleet's requests without any exchange, in a cut too.
 */
final class RetryBudget {

  private final RetrySettings settings;
  private double tokens;
  private Instant at = Instant.MIN;

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
    if (at != Instant.MIN) {
      double seconds = Math.max(0, Duration.between(at, now).toMillis() / 1e3);
      tokens = Math.min(settings.burst(), tokens + seconds * settings.leastPerSecond());
    }
    at = now;
  }
}
