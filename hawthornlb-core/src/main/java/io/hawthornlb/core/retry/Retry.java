package io.hawthornlb.core.retry;

import io.hawthornlb.core.model.EndpointId;
import java.time.Duration;
import java.util.Set;

/**
 * Another attempt.
 *
 * @param delay how long to wait before it
 * @param excluded endpoints that it must not go to
 */
public record Retry(Duration delay, Set<EndpointId> excluded) {

  /** Copies the endpoints. */
  public Retry {
    excluded = Set.copyOf(excluded);
  }
}
