package io.hawthornlb.core.endpoint;

import io.hawthornlb.core.util.Checks;
import java.time.Instant;

/**
 * Load that an endpoint reported; the report arrives with a delay.
 *
 * @param asOf time for which the report holds
 * @param running number of requests that the endpoint executes
 * @param waiting number of requests that wait inside the endpoint
 * @param slots number of requests that the endpoint can execute at once
 * @param kvUsedTokens number of tokens in the KV cache of the endpoint
 * @param kvTotalTokens number of tokens that the KV cache can hold
 * @param tokensPerSecond number of tokens that the endpoint generates per second, over all requests
 * @param batch number of batch items among the requests, filled in by the dispatcher of the
 *     endpoint; 0 if unknown
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

  /** Checks that the counts are not negative and that there is at least one slot. */
  public LoadReport {
    Checks.notNegative(running, "running");
    Checks.notNegative(waiting, "waiting");
    Checks.notNegative(batch, "batch");
    Checks.isTrue(slots > 0, "slots must be positive, was " + slots);
  }

  /** Returns the number of online requests inside the endpoint. */
  public int online() {
    return Math.max(0, running + waiting - batch);
  }

  /** Returns this report with the given number of batch items. */
  public LoadReport withBatch(int items) {
    return new LoadReport(
        asOf, running, waiting, slots, kvUsedTokens, kvTotalTokens, tokensPerSecond, items);
  }
}
