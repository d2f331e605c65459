package io.hawthornlb.net.platform.support;

import io.hawthornlb.core.util.Checks;
import java.time.Duration;

/**
 * How long calls to the platform may take.
 *
 * @param connect to open a connection
 * @param call to get the whole answer, beyond the wait that a long poll asks for
 * @param longestWait the longest wait of a long poll
 */
public record PlatformTimeouts(Duration connect, Duration call, Duration longestWait) {

  /** One second to connect, two for an answer, five for a long poll. */
  public static final PlatformTimeouts DEFAULT =
      new PlatformTimeouts(Duration.ofSeconds(1), Duration.ofSeconds(2), Duration.ofSeconds(5));

  /** Checks that the times are positive. */
  public PlatformTimeouts {
    Checks.isTrue(!connect.isNegative() && !connect.isZero(), "connect timeout must be positive");
    Checks.isTrue(!call.isNegative() && !call.isZero(), "call timeout must be positive");
    Checks.isTrue(!longestWait.isNegative(), "longest wait must not be negative");
  }

  /** Returns the time that a call with a wait may take. */
  Duration withWait(Duration wait) {
    return call.plus(wait);
  }
}
