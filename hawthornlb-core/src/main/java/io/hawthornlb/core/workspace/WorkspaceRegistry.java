package io.hawthornlb.core.workspace;

import io.hawthornlb.core.model.WorkspaceId;
import java.util.Optional;

/** The workspaces of one configuration version. Implementations are immutable. */
public interface WorkspaceRegistry {

  /** Returns the workspace that holds an API key; empty if no workspace holds it. */
  Optional<Workspace> findByKey(String apiKey);

  /** Returns a workspace by its id. */
  Optional<Workspace> find(WorkspaceId id);

  /** Returns the number of workspaces. */
  int size();
}
