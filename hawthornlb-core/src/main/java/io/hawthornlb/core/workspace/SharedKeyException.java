package io.hawthornlb.core.workspace;

import io.hawthornlb.core.model.WorkspaceId;

/** Thrown if two workspaces hold the same API key. The message does not contain the key. */
public final class SharedKeyException extends RuntimeException {

  private static final long serialVersionUID = 1;

  /** Creates the exception. */
  public SharedKeyException(WorkspaceId first, WorkspaceId second) {
    super("workspaces " + first + " and " + second + " hold the same key; remove it from one");
  }
}
