package io.hawthornlb.core.batch;

import io.hawthornlb.core.util.Checks;
import java.time.Duration;

/**
 * How a steward weighs batch throughput against online tail latency.
 *
 * @param batchWeight weight of throughput, 0 to 1, from the catalogue
 * @param slots slots of the endpoint until it reports
 * @param ahead items that wait at the steward, for each slot
 * @param prefillsBesideOnline items that may be in prefill at once while online requests run
 * @param returnAfter how long a preempted item waits before it goes back to its coordinator
 * @param moveMillis fixed cost of moving KV cache
 * @param moveMillisPerToken cost of moving one token of KV cache
 * @param prefillMillisPerToken cost of computing it again
 */
public record StewardSettings(
    double batchWeight,
    int slots,
    double ahead,
    int prefillsBesideOnline,
    Duration returnAfter,
    double moveMillis,
    double moveMillisPerToken,
    double prefillMillisPerToken) {

  /** Checks weight and slots. */
  public StewardSettings {
    Checks.isTrue(batchWeight >= 0 && batchWeight <= 1, "batch weight must be from 0 to 1");
    Checks.isTrue(slots > 0, "slots must be positive");
    Checks.isTrue(ahead > 0, "ahead must be positive");
  }

  /** Returns the defaults for a weight and a number of slots. */
  public static StewardSettings of(double batchWeight, int slots) {
    return new StewardSettings(batchWeight, slots, 1.0, 1, Duration.ofSeconds(2), 20, 0.01, 0.1);
  }

  /** Returns these settings with another limit of prefills beside online requests. */
  public StewardSettings withPrefillsBesideOnline(int count) {
    return new StewardSettings(
        batchWeight,
        slots,
        ahead,
        count,
        returnAfter,
        moveMillis,
        moveMillisPerToken,
        prefillMillisPerToken);
  }

  /** Returns whether moving KV cache of so many tokens is cheaper than computing it again. */
  public boolean movePays(int tokens) {
    return moveMillis + tokens * moveMillisPerToken < tokens * prefillMillisPerToken;
  }
}
