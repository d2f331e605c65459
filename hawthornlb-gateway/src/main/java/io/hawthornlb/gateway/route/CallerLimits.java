package io.hawthornlb.gateway.route;

import java.time.Duration;

/**
 * Limits on requests and connections of callers.
 *
 * @param headerBytes size limit of the request line and headers
 * @param bodyBytes size limit of a request body
 * @param headerTimeout time within which the headers must be complete
 * @param idleTimeout time that a connection may stay open without a request
 */
public record CallerLimits(
    int headerBytes, int bodyBytes, Duration headerTimeout, Duration idleTimeout) {

  /** Limits used before a configuration is known; the defaults of common HTTP servers. */
  public static final CallerLimits DEFAULT =
      new CallerLimits(16_384, 4_194_304, Duration.ofSeconds(10), Duration.ofSeconds(60));
}
