package io.hawthornlb.gateway.loop;

import java.time.Duration;

/**
 * Decides for how long a loop rests before it asks for events again. No I/O; time is passed in.
 *
 * <p>Load pattern: hundreds of streams bring an event every few milliseconds each. A loop that
 * wakes for each of them spends more on waking than on the events. While several come within a
 * short time, they are waited for together; a loop with little to do answers each event at once.
 */
final class EventGathering {

  /** Longest time that an event waits for others. */
  static final Duration REST = Duration.ofMillis(5);

  /** Time over which the rate of events is smoothed. */
  private static final double SMOOTHING_NANOS = Duration.ofMillis(100).toNanos();

  private double eventsInRest;
  private long lastNanos;

  EventGathering(long nowNanos) {
    this.lastNanos = nowNanos;
  }

  /** Takes that a number of events was handled since the last call. */
  void handled(int events, long nowNanos) {
    double elapsed = Math.max(1, nowNanos - lastNanos);
    lastNanos = nowNanos;
    double now = events * REST.toNanos() / elapsed;
    eventsInRest += (now - eventsInRest) * Math.min(1, elapsed / SMOOTHING_NANOS);
  }

  /** Returns for how long the loop is to rest; zero if hardly any event would join another. */
  Duration rest() {
    return eventsInRest < 1 ? Duration.ZERO : REST;
  }
}
