package io.hawthornlb.gateway.slot.support;

import java.time.Duration;
import java.time.Instant;
import org.jspecify.annotations.Nullable;

/**
 * Learns how long spells last in which requests are refused, to tell callers when one is over.
 *
 * <p>Load pattern: crests of waves last seconds, and those that wait for a slot at a moment say
 * little about when the crest ends. A caller told to come back after their wait alone meets the
 * same crest. What remains is the usual length less what has passed; a spell that lasts longer than
 * usual is taken to last half as long again.
 */
final class OverloadSpell {

  /** Length assumed before the first spell has ended. */
  private static final Duration FIRST_LENGTH = Duration.ofMillis(1_500);

  /** Weight of the newest spell; about the last three count. */
  private static final double SMOOTHING = 0.3;

  /** Time without a refusal after which free slots end a spell; within a crest some free up too. */
  private static final Duration CALM = Duration.ofMillis(300);

  /** Least time that is told; less would bring a caller back before a slot can be free. */
  private static final Duration LEAST = Duration.ofMillis(200);

  private double usualMillis = FIRST_LENGTH.toMillis();
  private @Nullable Instant began;
  private Instant lastRefusal = Instant.MIN;

  /** Takes that a request was refused because no slot is free. */
  void refused(Instant now) {
    if (began == null) {
      began = now;
    }
    lastRefusal = now;
  }

  /** Takes that a request found a free slot at once while no other waited. */
  void eased(Instant now) {
    Instant start = began;
    if (start != null && !now.isBefore(lastRefusal.plus(CALM))) {
      usualMillis += SMOOTHING * (Duration.between(start, lastRefusal).toMillis() - usualMillis);
      began = null;
    }
  }

  /** Returns for how long the present spell is likely to last. */
  Duration remaining(Instant now) {
    if (began == null) {
      return Duration.ZERO;
    }
    long passed = Duration.between(began, now).toMillis();
    double left = passed < usualMillis ? usualMillis - passed : passed / 2.0;
    return left < LEAST.toMillis() ? LEAST : Duration.ofMillis((long) left);
  }
}
