package io.hawthornlb.standin.report;

import java.util.List;

/**
 * How long an answer took, in nanoseconds from the time at which its request was meant to start.
 *
 * <p>Counting from there, and not from the sending, shows the wait of requests that a stall held
 * up.
 *
 * @param tokens when tokens came; empty for an answer in one piece
 * @param total when the answer was whole
 */
public record Latency(List<Long> tokens, long total) {

  /** Copies the times. */
  public Latency {
    tokens = List.copyOf(tokens);
  }

  /** Returns the latency of an answer in one piece. */
  public static Latency whole(long total) {
    return new Latency(List.of(), total);
  }
}
