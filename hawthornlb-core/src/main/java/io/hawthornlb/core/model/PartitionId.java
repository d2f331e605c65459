package io.hawthornlb.core.model;

import io.hawthornlb.core.util.Checks;

/**
 * Identifies one of the fixed number of partitions to which jobs and idempotency keys are hashed.
 */
public record PartitionId(int value) implements Comparable<PartitionId> {

  /** Checks that the number is not negative. */
  public PartitionId {
    Checks.notNegative(value, "partition");
  }

  @Override
  public int compareTo(PartitionId other) {
    return Integer.compare(value, other.value);
  }
}
