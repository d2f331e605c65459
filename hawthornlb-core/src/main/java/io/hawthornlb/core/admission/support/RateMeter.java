package io.hawthornlb.core.admission.support;

import java.time.Duration;
import java.time.Instant;

/** A token bucket of one second's worth, with the measured rate of arrivals. */
final class RateMeter {

  private static final double NANOS = 1e9;
  private static final double LEAST_RATE = 1e-3;

  private final Instant began;
  private double tokens = Double.MAX_VALUE;
  private double tokensAt;
  private double arrivals;
  private double arrivalsAt;

  RateMeter(Instant now) {
    this.began = now;
  }

  /** Counts an arrival and returns the measured arrivals a second. */
  double arrived(Instant now) {
    arrivals = arrivals(now) + 1;
    arrivalsAt = seconds(now);
    return arrivals;
  }

  /** Returns the measured arrivals a second. */
  double arrivals(Instant now) {
    return arrivals * Math.exp(arrivalsAt - seconds(now));
  }

  /** Takes a token if there is one, at a rate that may have changed. */
  boolean take(Instant now, double rate) {
    double seconds = seconds(now);
    tokens = Math.min(Math.max(1, rate), tokens + (seconds - tokensAt) * rate);
    tokensAt = seconds;
    if (tokens < 1) {
      return false;
    }
    tokens -= 1;
    return true;
  }

  /** Returns when the next token comes. */
  Duration wait(double rate) {
    double seconds = Math.max(0, 1 - tokens) / Math.max(rate, LEAST_RATE);
    return Duration.ofNanos((long) (seconds * NANOS));
  }

  private double seconds(Instant now) {
    return Math.max(0, Duration.between(began, now).toNanos() / NANOS);
  }
}
