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
 */
public record LoadReport(
    Instant asOf,
    int running,
    int waiting,
    int slots,
    long kvUsedTokens,
    long kvTotalTokens,
    double tokensPerSecond) {

  /** Checks that the counts are not negative and that there is a slot. */
  public LoadReport {
    Checks.notNegative(running, "running");
    Checks.notNegative(waiting, "waiting");
    Checks.isTrue(slots > 0, "slots must be positive, was " + slots);
  }

  /** Returns all requests inside the endpoint. */
  public int total() {
    return running + waiting;
  }
}
