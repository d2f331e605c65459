package io.hawthornlb.core.retry;

import io.hawthornlb.core.model.EndpointId;
import io.hawthornlb.core.model.Refusal;
import io.hawthornlb.core.model.RequestId;
import io.hawthornlb.core.util.Checks;
import java.time.Instant;
import java.util.Set;

/**
 * An attempt of a request that failed.
 *
 * @param id the request
 * @param attempt its number, from 1
 * @param repeatable whether the request may be executed again
 * @param sent whether a byte of it has gone to the endpoint
 * @param failed endpoints where it has failed so far
 * @param deadline by when its answer is due
 * @param refusal the answer if it is not tried again
 */
public record FailedAttempt(
    RequestId id,
    int attempt,
    boolean repeatable,
    boolean sent,
    Set<EndpointId> failed,
    Instant deadline,
    Refusal refusal) {

  /** Checks the number and copies the endpoints. */
  public FailedAttempt {
    Checks.isTrue(attempt >= 1, "attempts count from 1");
    failed = Set.copyOf(failed);
  }
}
