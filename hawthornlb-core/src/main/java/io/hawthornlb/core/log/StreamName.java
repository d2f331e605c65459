package io.hawthornlb.core.log;

import io.hawthornlb.core.model.PartitionId;
import io.hawthornlb.core.util.Checks;

/** Names one stream of the platform log; each stream counts its own offsets from zero. */
public record StreamName(String value) {

  /** The stream on which operators publish the catalogue. */
  public static final StreamName CATALOGUE = new StreamName("catalogue");

  /** The stream of claims, renewals and releases of partitions. */
  public static final StreamName CLAIMS = new StreamName("claims");

  /** Checks that the name is not blank. */
  public StreamName {
    Checks.hasText(value, "stream name");
  }

  /** Returns the stream that holds the jobs and run-once requests of a partition. */
  public static StreamName ofPartition(PartitionId partition) {
    return new StreamName("partition-" + partition.value());
  }

  @Override
  public String toString() {
    return value;
  }
}
