package io.hawthornlb.gateway.process;

import java.time.Instant;
import java.time.InstantSource;

/**
 * Clock that counts on from the time of its creation.
 *
 * <p>Failure: the time of day steps, and every timer that compares two readings of it fires early
 * or late. Guard: the time of day is read once; what follows is measured by the steady clock.
 */
public final class SteadyClock implements InstantSource {

  private final Instant start;
  private final long startNanos = System.nanoTime();

  /** Creates a clock that starts at the time of another one. */
  public SteadyClock(InstantSource timeOfDay) {
    start = timeOfDay.instant();
  }

  @Override
  public Instant instant() {
    return start.plusNanos(System.nanoTime() - startNanos);
  }
}
