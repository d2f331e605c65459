package io.hawthornlb.core.model;

import io.hawthornlb.core.util.Checks;

/** Names one of the fixed number of partitions that jobs and idempotency keys are hashed to. */
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
