package io.hawthornlb.core.batch;

import io.hawthornlb.core.model.EndpointId;
import io.hawthornlb.core.util.Checks;
import java.time.Instant;
import java.util.Optional;

/**
 * A batch item that may be executed.
 *
 * @param ref the item
 * @param acceptedAt when its job was accepted
 * @param due when its job is due
 * @param promptTokens estimated length of its prompt
 * @param outputTokens estimated length of its answer
 * @param generated tokens that an earlier, preempted execution has generated
 * @param keptAt the endpoint that may hold the KV cache of that execution
 * @param remaining items of its job that have no outcome, this one included
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

  /** Checks the lengths. */
  public BatchItem {
    Checks.notNegative(promptTokens, "prompt tokens");
    Checks.notNegative(outputTokens, "output tokens");
    Checks.notNegative(generated, "generated");
  }

  /** Returns this item with what a preempted execution has kept at an endpoint. */
  public BatchItem preempted(int tokens, EndpointId endpoint) {
    return new BatchItem(
        ref, acceptedAt, due, promptTokens, outputTokens, tokens, Optional.of(endpoint), remaining);
  }

  /** Returns the tokens that must be in the KV cache before the next one is generated. */
  public int contextTokens() {
    return promptTokens + generated;
  }
}
