package io.hawthornlb.core.admission;

import io.hawthornlb.core.util.Checks;

/**
 * How much of a limit one entry could use.
 *
 * @param key the limit
 * @param amount requests in progress and waiting
 */
public record Demand(ShareKey key, double amount) {

  /** Checks that the amount is not negative. */
  public Demand {
    Checks.isTrue(amount >= 0, "amount must not be negative");
  }
}
