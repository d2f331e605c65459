package io.hawthornlb.gateway.route;

import java.time.Duration;

/**
 * Bounds on what a caller may send.
 *
 * @param headerBytes size of a request's line and headers
 * @param bodyBytes size of a request's body
 * @param headerTimeout time within which headers must be complete
 * @param idleTimeout time that a connection may stay open without a request
 */
public record CallerLimits(
    int headerBytes, int bodyBytes, Duration headerTimeout, Duration idleTimeout) {

  /** Limits before a configuration is known; the defaults of common HTTP servers. */
  public static final CallerLimits DEFAULT =
      new CallerLimits(16_384, 4_194_304, Duration.ofSeconds(10), Duration.ofSeconds(60));
}
