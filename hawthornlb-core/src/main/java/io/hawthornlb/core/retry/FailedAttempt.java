package io.hawthornlb.core.retry;

import io.hawthornlb.core.model.EndpointId;
import io.hawthornlb.core.model.Refusal;
import io.hawthornlb.core.model.RequestId;
import io.hawthornlb.core.util.Checks;
import java.time.Instant;
import java.util.Set;

/**
 * Failed attempt of a request.
 *
 * @param id identifies the request
 * @param attempt the number of the attempt, counted from 1
 * @param repeatable whether the request may be executed more than once
 * @param sent whether a byte of the request was sent to the endpoint
 * @param failed the endpoints at which the request has failed so far
 * @param deadline when the caller needs the answer
 * @param refusal the final answer if the request is not retried
 */
public record FailedAttempt(
    RequestId id,
    int attempt,
    boolean repeatable,
    boolean sent,
    Set<EndpointId> failed,
    Instant deadline,
    Refusal refusal) {

  /** Checks the number of the attempt and copies the set of endpoints. */
  public FailedAttempt {
    Checks.isTrue(attempt >= 1, "attempt must be at least 1");
    failed = Set.copyOf(failed);
  }
}
