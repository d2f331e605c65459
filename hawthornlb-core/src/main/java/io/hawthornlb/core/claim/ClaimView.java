package io.hawthornlb.core.claim;

import io.hawthornlb.core.model.PartitionId;
import java.util.Optional;

/** Read access to the current claims, as of the last record that this instance has folded. */
public interface ClaimView {

  /**
   * Returns the current claim of a partition, or empty if the partition was never claimed or its
   * last claim was released.
   */
  Optional<Claim> current(PartitionId partition);

  /** Returns the fixed number of partitions. */
  int partitions();
}
