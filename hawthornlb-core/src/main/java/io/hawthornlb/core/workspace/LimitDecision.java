package io.hawthornlb.core.workspace;

import java.time.Duration;

/**
 * Decision of a limiter about one request.
 *
 * @param allowed whether the request may run
 * @param retryAfter time after which a refused request is likely to be allowed; zero if it is
 *     allowed
 */
public record LimitDecision(boolean allowed, Duration retryAfter) {

  /** Decision that a request may run. */
  public static final LimitDecision ALLOWED = new LimitDecision(true, Duration.ZERO);

  /** Returns the decision that a request exceeds the limit. */
  public static LimitDecision refused(Duration retryAfter) {
    return new LimitDecision(false, retryAfter);
  }
}
