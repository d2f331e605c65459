package io.hawthornlb.core.admission.support;

import java.time.Duration;
import java.time.Instant;

/** A token bucket that holds the tokens of one second, and a measurement of the arrival rate. */
final class RateMeter {

  private static final double NANOS_PER_SECOND = 1e9;
  private static final double MIN_RATE = 1e-3;

  private final Instant start;
  private double tokens = Double.MAX_VALUE;
  private double tokensAt;
  private double arrivals;
  private double arrivalsAt;

  RateMeter(Instant now) {
    this.start = now;
  }

  /** Counts an arrival and returns the measured arrivals per second. */
  double recordArrival(Instant now) {
    arrivals = arrivals(now) + 1;
    arrivalsAt = seconds(now);
    return arrivals;
  }

  /** Returns the measured arrivals per second. */
  double arrivals(Instant now) {
    return arrivals * Math.exp(arrivalsAt - seconds(now));
  }

  /** Takes a token if one is available, at the given rate, which may differ from call to call. */
  boolean tryAcquire(Instant now, double rate) {
    double seconds = seconds(now);
    tokens = Math.min(Math.max(1, rate), tokens + (seconds - tokensAt) * rate);
    tokensAt = seconds;
    if (tokens < 1) {
      return false;
    }
    tokens -= 1;
    return true;
  }

  /** Returns the time until the next token is available. */
  Duration waitTime(double rate) {
    double seconds = Math.max(0, 1 - tokens) / Math.max(rate, MIN_RATE);
    return Duration.ofNanos((long) (seconds * NANOS_PER_SECOND));
  }

  private double seconds(Instant now) {
    return Math.max(0, Duration.between(start, now).toNanos() / NANOS_PER_SECOND);
  }
}
