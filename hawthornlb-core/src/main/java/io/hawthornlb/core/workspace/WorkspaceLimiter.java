package io.hawthornlb.core.workspace;

import io.hawthornlb.core.model.WorkspaceId;
import java.time.Instant;

/**
 * Limits the rate of each workspace's requests over all instances. Implementations do no I/O and
 * are confined to one thread.
 */
public interface WorkspaceLimiter {

  /** Decides about a request, which counts against the limit if it is allowed. */
  LimitDecision decide(WorkspaceId workspace, WorkspaceLimit limit, Instant now);

  /** Takes back the count of a request that was allowed but did not run. */
  void refund(WorkspaceId workspace);
}
