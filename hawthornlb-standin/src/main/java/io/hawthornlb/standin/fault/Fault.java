package io.hawthornlb.standin.fault;

import java.time.Instant;

/**
 * A fault that is switched on.
 *
 * @param kind what goes wrong
 * @param value the milliseconds of {@link FaultKind#SLOW} and {@link FaultKind#LAG_REPORTS}
 * @param match text that a request must contain to be hit; blank hits all
 * @param endsAt when it ends by itself
 */
public record Fault(FaultKind kind, long value, String match, Instant endsAt) {

  /** Returns whether the fault hits a request with this method and path, or this body. */
  public boolean hits(String text) {
    return match.isEmpty() || text.contains(match);
  }
}
