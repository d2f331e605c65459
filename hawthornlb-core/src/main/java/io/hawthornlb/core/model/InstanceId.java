package io.hawthornlb.core.model;

import io.hawthornlb.core.util.Checks;

/** Names one entry instance; unique for the life of one process start. */
public record InstanceId(String value) implements Comparable<InstanceId> {

  /** Checks that the name is not blank. */
  public InstanceId {
    Checks.hasText(value, "instance id");
  }

  @Override
  public int compareTo(InstanceId other) {
    return value.compareTo(other.value);
  }

  @Override
  public String toString() {
    return value;
  }
}
