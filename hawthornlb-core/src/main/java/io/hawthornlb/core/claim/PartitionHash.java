package io.hawthornlb.core.claim;

import com.dynatrace.hash4j.hashing.Hashing;
import io.hawthornlb.core.model.PartitionId;
import io.hawthornlb.core.util.Checks;

/** Maps keys to partitions. The mapping is the same on every instance and in every version. */
public final class PartitionHash {

  private PartitionHash() {}

  /** Returns the partition of a key. */
  public static PartitionId partition(String key, int partitions) {
    Checks.isTrue(partitions > 0, "partitions must be positive");
    long hash = Hashing.wyhashFinal4().hashCharsToLong(key);
    return new PartitionId((int) Long.remainderUnsigned(hash, partitions));
  }
}
