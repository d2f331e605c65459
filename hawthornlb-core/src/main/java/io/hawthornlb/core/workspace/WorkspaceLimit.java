package io.hawthornlb.core.workspace;

import io.hawthornlb.core.util.Checks;

/**
 * Rate limit of a workspace, which applies to all instances together.
 *
 * @param requestsPerSecond number of requests per second that may run in the long term
 * @param burst number of requests that may run at once in addition
 */
public record WorkspaceLimit(double requestsPerSecond, double burst) {

  /** Checks that the rate is positive and finite, and that the burst is not negative. */
  public WorkspaceLimit {
    Checks.isTrue(
        requestsPerSecond > 0 && Double.isFinite(requestsPerSecond),
        "requests per second must be positive");
    Checks.isTrue(burst >= 0 && Double.isFinite(burst), "burst must not be negative");
  }
}
