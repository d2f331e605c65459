package io.hawthornlb.gateway.process;

import java.time.Instant;
import java.time.InstantSource;

/**
 * Monotonic clock that starts at the time of day of its creation.
 *
 * <p>The time of day may jump, and a timer that compares two readings would then fire early or
 * late. This clock therefore reads the time of day once and measures elapsed time with {@link
 * System#nanoTime()}.
 */
public final class MonotonicClock implements InstantSource {

  private final Instant start;
  private final long startNanos = System.nanoTime();

  /** Creates a clock that starts at the current time of another clock. */
  public MonotonicClock(InstantSource timeOfDay) {
    start = timeOfDay.instant();
  }

  @Override
  public Instant instant() {
    return start.plusNanos(System.nanoTime() - startNanos);
  }
}
