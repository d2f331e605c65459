package io.hawthornlb.core.batch;

import io.hawthornlb.core.model.EndpointId;
import io.hawthornlb.core.util.Checks;
import java.time.Instant;
import java.util.Optional;

/**
 * A batch item that is ready for execution.
 *
 * @param ref reference to the item
 * @param acceptedAt time at which the job of the item was accepted
 * @param due time by which the job is due
 * @param promptTokens estimated length of the prompt
 * @param outputTokens estimated length of the answer
 * @param generated number of tokens that an earlier, preempted execution has generated
 * @param keptAt endpoint that may still hold the KV cache of that execution
 * @param remaining number of items of the job that have no outcome yet, including this one
 */
public record BatchItem(
    ItemRef ref,
    Instant acceptedAt,
    Instant due,
    int promptTokens,
    int outputTokens,
    int generated,
    Optional<EndpointId> keptAt,
    int remaining) {

  /** Checks that the lengths are not negative. */
  public BatchItem {
    Checks.notNegative(promptTokens, "prompt tokens");
    Checks.notNegative(outputTokens, "output tokens");
    Checks.notNegative(generated, "generated");
  }

  /**
   * Returns this item after a preemption, with the generated tokens and the endpoint that may hold
   * its KV cache.
   */
  public BatchItem preempted(int tokens, EndpointId endpoint) {
    return new BatchItem(
        ref, acceptedAt, due, promptTokens, outputTokens, tokens, Optional.of(endpoint), remaining);
  }

  /**
   * Returns the number of tokens that must be in the KV cache before the next token can be
   * generated.
   */
  public int contextTokens() {
    return promptTokens + generated;
  }
}
