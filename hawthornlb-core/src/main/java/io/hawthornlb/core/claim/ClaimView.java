package io.hawthornlb.core.claim;

import io.hawthornlb.core.model.PartitionId;
import java.util.Optional;

/** The current claims as far as this instance has folded the log. */
public interface ClaimView {

  /** Returns the current claim of a partition, or empty if it was never claimed or released. */
  Optional<Claim> current(PartitionId partition);

  /** Returns the fixed number of partitions. */
  int partitions();
}
