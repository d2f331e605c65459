package io.hawthornlb.gateway.front;

import java.time.Duration;
import java.time.Instant;

/**
 * Decides whether a process that cannot read the configuration may still accept a key that it
 * knows.
 *
 * <p>A process that is cut off from the store does not learn that a key was revoked. A strict
 * policy refuses all keys once that may have happened longer ago than the revoke time; a lenient
 * one serves callers by the last configuration that the process has read.
 *
 * <p>A request is judged once, when it arrives. One that waits or runs while its key is revoked is
 * completed.
 *
 * @param strict whether the policy is strict
 * @param revokeTime time after which a revoked key must be refused everywhere
 */
public record RevocationPolicy(boolean strict, Duration revokeTime) {

  /** Policy that accepts known keys at any time. */
  public static final RevocationPolicy LENIENT = new RevocationPolicy(false, Duration.ZERO);

  /**
   * Returns whether a request may be served.
   *
   * @param freshAsOf moment up to which all changes of the configuration are known
   */
  boolean allows(FrontRequest request, Instant freshAsOf) {
    return !strict
        || request.workspace() == null
        || !freshAsOf.isBefore(request.arrived().minus(revokeTime));
  }
}
