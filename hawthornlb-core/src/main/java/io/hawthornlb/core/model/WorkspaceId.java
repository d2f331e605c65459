package io.hawthornlb.core.model;

import io.hawthornlb.core.util.Checks;

/** Identifies a workspace, the unit to which limits and fairness apply. */
public record WorkspaceId(String value) implements Comparable<WorkspaceId> {

  /** Checks that the id is not blank. */
  public WorkspaceId {
    Checks.hasText(value, "workspace id");
  }

  @Override
  public int compareTo(WorkspaceId other) {
    return value.compareTo(other.value);
  }

  @Override
  public String toString() {
    return value;
  }
}
