package io.hawthornlb.core.model;

import io.hawthornlb.core.util.Checks;

/** Names one workspace, the unit of limits and fairness. */
public record WorkspaceId(String value) implements Comparable<WorkspaceId> {

  /** Checks that the name is not blank. */
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
