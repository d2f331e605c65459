package io.hawthornlb.core.endpoint;

import io.hawthornlb.core.util.Checks;
import java.time.Instant;

/**
 * What an endpoint said about its load; it lags.
 *
 * @param asOf when it was true
 * @param running requests that it executes
 * @param waiting requests that wait inside the endpoint
 * @param slots requests that it can execute at once
 * @param kvUsedTokens tokens held in its KV cache
 * @param kvTotalTokens tokens that its KV cache can hold
 * @param tokensPerSecond tokens that it generates a second, over all requests
 * @param batch batch items among its requests, which its steward fills in; 0 where unknown
 */
public record LoadReport(
    Instant asOf,
    int running,
    int waiting,
    int slots,
    long kvUsedTokens,
    long kvTotalTokens,
    double tokensPerSecond,
    int batch) {

  /** Checks that the counts are not negative and that there is a slot. */
  public LoadReport {
    Checks.notNegative(running, "running");
    Checks.notNegative(waiting, "waiting");
    Checks.notNegative(batch, "batch");
    Checks.isTrue(slots > 0, "slots must be positive, was " + slots);
  }

  /** Returns the online requests inside the endpoint. */
  public int online() {
    return Math.max(0, running + waiting - batch);
  }

  /** Returns this report with the number of batch items in it. */
  public LoadReport withBatch(int items) {
    return new LoadReport(
        asOf, running, waiting, slots, kvUsedTokens, kvTotalTokens, tokensPerSecond, items);
  }
}
