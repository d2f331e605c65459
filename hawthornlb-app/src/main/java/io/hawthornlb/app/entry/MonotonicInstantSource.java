package io.hawthornlb.app.entry;

import java.time.Instant;
import java.time.InstantSource;

/**
 * A clock that starts with the machine's time and never jumps.
 *
 * <p>A step of the machine's clock would end leases and deadlines of requests in progress.
 */
public final class MonotonicInstantSource implements InstantSource {

  private final Instant start = Instant.now();
  private final long startNanos = System.nanoTime();

  @Override
  public Instant instant() {
    return start.plusNanos(System.nanoTime() - startNanos);
  }
}
