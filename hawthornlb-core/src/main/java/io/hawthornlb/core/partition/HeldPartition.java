package io.hawthornlb.core.partition;

import io.hawthornlb.core.claim.Claim;
import java.util.Optional;

/** Whether this instance decides for a partition now, as far as it knows. */
public interface HeldPartition {

  /**
   * Returns the claim under which this instance decides.
   *
   * <p>Present only while the claim is not known to be superseded, the stream has been opened under
   * its epoch, and the fold of the stream is complete; all valid records of earlier holders are
   * then folded.
   */
  Optional<Claim> claim();
}
