package io.hawthornlb.core.batch;

import io.hawthornlb.core.util.Checks;
import java.time.Duration;

/**
 * How a steward weighs batch throughput against online tail latency.
 *
 * @param slots slots of the endpoint until it reports
 * @param fillBesideOnline part of the slots that may be taken while online requests run
 * @param prefillsBesideOnline items that may be in prefill at once while online requests run
 * @param ahead items that wait at the steward, for each slot
 * @param returnAfter how long a preempted item waits before it goes back to its coordinator
 * @param moveMillis fixed cost of moving KV cache
 * @param moveMillisPerToken cost of moving one token of KV cache
 * @param prefillMillisPerToken cost of computing it again
 */
public record StewardSettings(
    int slots,
    double fillBesideOnline,
    int prefillsBesideOnline,
    double ahead,
    Duration returnAfter,
    double moveMillis,
    double moveMillisPerToken,
    double prefillMillisPerToken) {

  private static final double LEAST_FILL = 0.6;
  private static final double EVEN_WEIGHT = 0.5;

  /** Checks the counts and parts. */
  public StewardSettings {
    Checks.isTrue(slots > 0, "slots must be positive");
    Checks.isTrue(fillBesideOnline >= 0 && fillBesideOnline <= 1, "fill must be from 0 to 1");
    Checks.isTrue(ahead > 0, "ahead must be positive");
  }

  /**
   * Returns the settings for a batch weight of the catalogue.
   *
   * <p>From a weight of one half on, all slots are filled; below it, batch work gives up slots
   * beside online requests, so that the steps of the engine stay shorter.
   */
  public static StewardSettings of(double batchWeight, int slots) {
    Checks.isTrue(batchWeight >= 0 && batchWeight <= 1, "batch weight must be from 0 to 1");
    double fill = Math.min(1, LEAST_FILL + (1 - LEAST_FILL) * batchWeight / EVEN_WEIGHT);
    int prefills = batchWeight >= EVEN_WEIGHT ? 2 : 1;
    return new StewardSettings(slots, fill, prefills, 1.0, Duration.ofSeconds(2), 20, 0.01, 0.1);
  }

  /** Returns whether moving KV cache of so many tokens is cheaper than computing it again. */
  public boolean movePays(int tokens) {
    return moveMillis + tokens * moveMillisPerToken < tokens * prefillMillisPerToken;
  }
}
