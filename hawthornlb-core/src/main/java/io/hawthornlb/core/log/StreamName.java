package io.hawthornlb.core.log;

import io.hawthornlb.core.model.PartitionId;
import io.hawthornlb.core.util.Checks;

/** Name of a stream of the platform log. Each stream has its own offsets, which start at zero. */
public record StreamName(String value) {

  /** The stream to which operators publish the catalogue. */
  public static final StreamName CATALOGUE = new StreamName("catalogue");

  /** The stream of claims, renewals and releases of partitions. */
  public static final StreamName CLAIMS = new StreamName("claims");

  /** Checks that the name is not blank. */
  public StreamName {
    Checks.hasText(value, "stream name");
  }

  /** Returns the name of the stream that contains the jobs and run-once requests of a partition. */
  public static StreamName ofPartition(PartitionId partition) {
    return new StreamName("partition-" + partition.value());
  }

  @Override
  public String toString() {
    return value;
  }
}
