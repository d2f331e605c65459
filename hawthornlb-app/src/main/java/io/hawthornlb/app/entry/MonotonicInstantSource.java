package io.hawthornlb.app.entry;

import java.time.Instant;
import java.time.InstantSource;

/**
 * A monotonic clock that starts at the system time.
 *
 * <p>A step of the system clock would otherwise end leases and deadlines of requests in progress.
 */
public final class MonotonicInstantSource implements InstantSource {

  private final Instant start = Instant.now();
  private final long startNanos = System.nanoTime();

  @Override
  public Instant instant() {
    return start.plusNanos(System.nanoTime() - startNanos);
  }
}
