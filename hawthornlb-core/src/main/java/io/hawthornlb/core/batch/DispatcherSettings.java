package io.hawthornlb.core.batch;

import io.hawthornlb.core.util.Checks;
import java.time.Duration;

/**
 * Settings by which a dispatcher weighs batch throughput against the tail latency of online
 * requests.
 *
 * @param slots number of slots assumed for the endpoint until the endpoint reports its load
 * @param fillBesideOnline fraction of the slots that may be in use while online requests run
 * @param prefillsBesideOnline number of items that may be in prefill at once while online requests
 *     run
 * @param ahead number of items that wait at the dispatcher for each slot
 * @param returnAfter time that a preempted item waits before the dispatcher returns it to its
 *     coordinator
 * @param moveMillis fixed cost of moving KV cache
 * @param moveMillisPerToken cost of moving one token of KV cache
 * @param prefillMillisPerToken cost of computing one token of KV cache again
 */
public record DispatcherSettings(
    int slots,
    double fillBesideOnline,
    int prefillsBesideOnline,
    double ahead,
    Duration returnAfter,
    double moveMillis,
    double moveMillisPerToken,
    double prefillMillisPerToken) {

  private static final double MIN_FILL = 0.6;
  private static final double FULL_FILL_WEIGHT = 0.5;

  /** Checks the ranges of the counts and fractions. */
  public DispatcherSettings {
    Checks.isTrue(slots > 0, "slots must be positive");
    Checks.isTrue(fillBesideOnline >= 0 && fillBesideOnline <= 1, "fill must be from 0 to 1");
    Checks.isTrue(ahead > 0, "ahead must be positive");
  }

  /**
   * Returns the settings for a batch weight of the catalogue.
   *
   * <p>With a weight of one half or more, all slots are filled. With a smaller weight, some slots
   * stay free of batch work while online requests run, so that the steps of the engine are shorter.
   */
  public static DispatcherSettings of(double batchWeight, int slots) {
    Checks.isTrue(batchWeight >= 0 && batchWeight <= 1, "batch weight must be from 0 to 1");
    double fill = Math.min(1, MIN_FILL + (1 - MIN_FILL) * batchWeight / FULL_FILL_WEIGHT);
    int prefills = batchWeight >= FULL_FILL_WEIGHT ? 2 : 1;
    return new DispatcherSettings(slots, fill, prefills, 1.0, Duration.ofSeconds(2), 20, 0.01, 0.1);
  }

  /**
   * Returns whether moving a KV cache of the given number of tokens is cheaper than computing it
   * again.
   */
  public boolean movingIsCheaper(int tokens) {
    return moveMillis + tokens * moveMillisPerToken < tokens * prefillMillisPerToken;
  }
}
