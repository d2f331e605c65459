package io.hawthornlb.core.workspace;

import io.hawthornlb.core.model.WorkspaceId;

/** Thrown if a registry would contain a workspace twice. */
public final class DuplicateWorkspaceException extends RuntimeException {

  private static final long serialVersionUID = 1;

  /** Creates the exception. */
  public DuplicateWorkspaceException(WorkspaceId id) {
    super("workspace " + id + " occurs twice; merge the two entries");
  }
}
