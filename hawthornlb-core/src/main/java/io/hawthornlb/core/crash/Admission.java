package io.hawthornlb.core.crash;

import java.util.Optional;

/**
 * Decision about a request that is about to be sent to an endpoint.
 *
 * @param block why the request must not be sent; empty if it is admitted
 * @param probe whether the request is admitted to find out whether a part still crashes endpoints
 */
public record Admission(Optional<CrashBlock> block, boolean probe) {

  /** Admission of a request without a suspected part. */
  public static final Admission FREE = new Admission(Optional.empty(), false);
}
