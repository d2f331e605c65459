package io.hawthornlb.core.admission;

import io.hawthornlb.core.util.Checks;

/**
 * Amount of a limit that one entry instance could use.
 *
 * @param key key of the limit
 * @param amount number of requests in progress and waiting
 */
public record Demand(ShareKey key, double amount) {

  /** Checks that the amount is not negative. */
  public Demand {
    Checks.isTrue(amount >= 0, "amount must not be negative");
  }
}
