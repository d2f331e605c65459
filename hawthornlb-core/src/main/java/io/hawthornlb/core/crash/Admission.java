package io.hawthornlb.core.crash;

import java.util.Optional;
import java.util.Set;

/**
 * Decision about a request that is about to be sent to an endpoint.
 *
 * @param block why the request must not be sent; empty if it is admitted
 * @param probed parts of which the request is to find out whether they still crash endpoints
 */
public record Admission(Optional<CrashBlock> block, Set<String> probed) {

  /** Admission of a request without a suspected part. */
  public static final Admission FREE = new Admission(Optional.empty(), Set.of());

  /** Copies the parts. */
  public Admission {
    probed = Set.copyOf(probed);
  }

  /** Returns the refusal of a request. */
  public static Admission refused(CrashBlock block) {
    return new Admission(Optional.of(block), Set.of());
  }
}
