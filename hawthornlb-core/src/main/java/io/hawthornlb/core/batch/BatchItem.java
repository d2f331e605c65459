package io.hawthornlb.core.batch;

import io.hawthornlb.core.model.ServiceName;
import io.hawthornlb.core.util.Checks;
import java.time.Instant;

/**
 * A batch item that may be executed.
 *
 * @param ref the item
 * @param service the service that executes it
 * @param acceptedAt when its job was accepted
 * @param due when its job is due
 * @param promptTokens estimated length of its prompt
 * @param outputTokens estimated length of its answer
 * @param generated tokens that an earlier, preempted execution has generated
 * @param remaining items of its job that have no outcome, this one included
 */
public record BatchItem(
    ItemRef ref,
    ServiceName service,
    Instant acceptedAt,
    Instant due,
    int promptTokens,
    int outputTokens,
    int generated,
    int remaining) {

  /** Checks the lengths. */
  public BatchItem {
    Checks.notNegative(promptTokens, "prompt tokens");
    Checks.notNegative(outputTokens, "output tokens");
    Checks.notNegative(generated, "generated");
  }

  /** Returns this item with the tokens that a preempted execution has kept. */
  public BatchItem withGenerated(int tokens) {
    return new BatchItem(
        ref, service, acceptedAt, due, promptTokens, outputTokens, tokens, remaining);
  }
}
