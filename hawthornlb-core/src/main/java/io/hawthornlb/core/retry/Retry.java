package io.hawthornlb.core.retry;

import io.hawthornlb.core.model.EndpointId;
import java.time.Duration;
import java.util.Set;

/**
 * Retry of a request.
 *
 * @param delay the delay before the attempt
 * @param excluded the endpoints to which the attempt must not be sent
 */
public record Retry(Duration delay, Set<EndpointId> excluded) {

  /** Copies the set of endpoints. */
  public Retry {
    excluded = Set.copyOf(excluded);
  }
}
