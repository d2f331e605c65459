package io.hawthornlb.core.admission.support;

import java.time.Duration;
import java.time.Instant;

/** A token bucket of one second's worth, with the measured rate of arrivals. */
final class RateMeter {

  private static final double NANOS = 1e9;

  private double tokens = 1;
  private double arrivals;
  private Instant at;
  private boolean fresh = true;

  RateMeter(Instant now) {
    this.at = now;
  }

  /** Counts an arrival and returns its measured rate a second. */
  double arrived(Instant now, double rate) {
    advance(now, rate);
    arrivals += 1;
    return arrivals;
  }

  /** Takes a token if there is one. */
  boolean take(Instant now, double rate) {
    advance(now, rate);
    if (tokens < 1) {
      return false;
    }
    tokens -= 1;
    return true;
  }

  /** Returns when the next token comes. */
  Duration wait(double rate) {
    return Duration.ofNanos((long) (Math.max(0, 1 - tokens) / Math.max(rate, 1e-3) * NANOS));
  }

  /** Returns the measured arrivals a second. */
  double arrivals(Instant now, double rate) {
    advance(now, rate);
    return arrivals;
  }

  private void advance(Instant now, double rate) {
    double seconds = Math.max(0, Duration.between(at, now).toNanos() / NANOS);
    double burst = Math.max(1, rate);
    tokens = fresh ? burst : Math.min(burst, tokens + seconds * rate);
    fresh = false;
    arrivals *= Math.exp(-seconds);
    at = now.isAfter(at) ? now : at;
  }
}
