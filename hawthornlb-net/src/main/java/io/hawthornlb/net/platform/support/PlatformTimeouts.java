package io.hawthornlb.net.platform.support;

import io.hawthornlb.core.util.Checks;
import java.time.Duration;

/**
 * Timeouts of calls to the platform.
 *
 * @param connect the time to open a connection
 * @param call the time to receive the whole response, in addition to the wait of a long poll
 * @param longestWait the longest wait of a long poll
 */
public record PlatformTimeouts(Duration connect, Duration call, Duration longestWait) {

  /** 1 s to connect, 2 s for a response, at most 5 s of wait in a long poll. */
  public static final PlatformTimeouts DEFAULT =
      new PlatformTimeouts(Duration.ofSeconds(1), Duration.ofSeconds(2), Duration.ofSeconds(5));

  /** Checks that the timeouts are positive and the longest wait is not negative. */
  public PlatformTimeouts {
    Checks.isTrue(!connect.isNegative() && !connect.isZero(), "connect timeout must be positive");
    Checks.isTrue(!call.isNegative() && !call.isZero(), "call timeout must be positive");
    Checks.isTrue(!longestWait.isNegative(), "longest wait must not be negative");
  }

  /** Returns the timeout of a call that waits as a long poll. */
  Duration withWait(Duration wait) {
    return call.plus(wait);
  }
}
