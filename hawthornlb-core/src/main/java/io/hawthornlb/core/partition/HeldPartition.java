package io.hawthornlb.core.partition;

import io.hawthornlb.core.claim.Claim;
import java.util.Optional;

/** Tells whether this instance currently holds a partition, as far as the instance knows. */
public interface HeldPartition {

  /**
   * Returns the claim under which this instance holds the partition.
   *
   * <p>The claim is present only while all of these conditions hold: the claim is not known to be
   * superseded, the stream has been opened under the epoch of the claim, and the fold of the stream
   * is complete. All valid records of earlier holders are folded by then.
   */
  Optional<Claim> claim();
}
