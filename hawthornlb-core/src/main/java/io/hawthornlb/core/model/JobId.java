package io.hawthornlb.core.model;

import io.hawthornlb.core.util.Checks;

/** Identifies a batch job. */
public record JobId(String value) implements Comparable<JobId> {

  /** Checks that the id is not blank. */
  public JobId {
    Checks.hasText(value, "job id");
  }

  @Override
  public int compareTo(JobId other) {
    return value.compareTo(other.value);
  }

  @Override
  public String toString() {
    return value;
  }
}
