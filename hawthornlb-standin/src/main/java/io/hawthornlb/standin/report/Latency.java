package io.hawthornlb.standin.report;

import java.util.List;

/**
 * Latency of one answer, in nanoseconds from the intended start of its request.
 *
 * <p>The latency counts from the intended start and not from the time of sending. So it includes
 * the waiting time of requests that a stall delayed (coordinated omission is avoided).
 *
 * @param tokens the times at which tokens arrived; empty for an answer that isn't streamed
 * @param total the time at which the answer was complete
 */
public record Latency(List<Long> tokens, long total) {

  /** Makes a defensive copy of the token times. */
  public Latency {
    tokens = List.copyOf(tokens);
  }

  /** Returns the latency of an answer that isn't streamed. */
  public static Latency whole(long total) {
    return new Latency(List.of(), total);
  }
}
