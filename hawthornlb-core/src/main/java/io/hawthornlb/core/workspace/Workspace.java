package io.hawthornlb.core.workspace;

import io.hawthornlb.core.model.WorkspaceId;
import org.jspecify.annotations.Nullable;

/**
 * A workspace of a configuration.
 *
 * @param id id of the workspace
 * @param priority priority of all its requests, which precedes that of their routes; 0 is the most
 *     urgent; null if the priorities of the routes apply
 * @param limit rate limit; null if the workspace has none
 */
public record Workspace(
    WorkspaceId id, @Nullable Integer priority, @Nullable WorkspaceLimit limit) {

  /** Returns the priority of a request on a route with the given priority. */
  public int priorityOr(int routePriority) {
    return priority == null ? routePriority : priority;
  }
}
