package io.hawthornlb.gateway.slot.support;

import java.time.Duration;
import java.time.Instant;
import org.jspecify.annotations.Nullable;

/**
 * Estimates how long an overload period lasts, in which requests are refused, so that refused
 * callers can be told when it is likely to be over.
 *
 * <p>The peaks of request waves last seconds, and the number of waiting requests says little about
 * when a peak ends. A caller told to return after the wait of these requests alone would meet the
 * same peak. The expected remaining time is the usual length of an overload period less the elapsed
 * time; a period that lasts longer than usual is expected to last half as long again.
 */
final class OverloadPeriod {

  /** Length assumed before the first overload period has ended. */
  private static final Duration FIRST_LENGTH = Duration.ofMillis(1_500);

  /** Weight of the latest overload period; about the last three count. */
  private static final double SMOOTHING = 0.3;

  /**
   * Time without a refusal after which a free slot ends the overload period; some slots become free
   * during a peak, too.
   */
  private static final Duration CALM_TIME = Duration.ofMillis(300);

  /** Shortest time told to a caller; a caller that returns earlier would find no free slot yet. */
  private static final Duration MIN_REMAINING = Duration.ofMillis(200);

  private double usualMillis = FIRST_LENGTH.toMillis();
  private @Nullable Instant began;
  private Instant lastRefusal = Instant.MIN;

  /** Records that a request was refused because no slot is free. */
  void refused(Instant now) {
    if (began == null) {
      began = now;
    }
    lastRefusal = now;
  }

  /** Records that a request found a free slot at once while no other request waited. */
  void slotFound(Instant now) {
    Instant start = began;
    if (start != null && !now.isBefore(lastRefusal.plus(CALM_TIME))) {
      usualMillis += SMOOTHING * (Duration.between(start, lastRefusal).toMillis() - usualMillis);
      began = null;
    }
  }

  /**
   * Returns how much longer the current overload period is likely to last; zero if there is none.
   */
  Duration remaining(Instant now) {
    if (began == null) {
      return Duration.ZERO;
    }
    long passed = Duration.between(began, now).toMillis();
    double left = passed < usualMillis ? usualMillis - passed : passed / 2.0;
    return left < MIN_REMAINING.toMillis() ? MIN_REMAINING : Duration.ofMillis((long) left);
  }
}
