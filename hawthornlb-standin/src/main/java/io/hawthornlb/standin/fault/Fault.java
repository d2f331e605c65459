package io.hawthornlb.standin.fault;

import java.time.Instant;

/**
 * An active fault.
 *
 * @param kind the kind of the fault
 * @param value the delay in milliseconds of {@link FaultKind#SLOW} and {@link
 *     FaultKind#LAG_REPORTS}
 * @param match the text that a request must contain; an empty text matches all requests
 * @param endsAt the time at which the fault ends
 */
public record Fault(FaultKind kind, long value, String match, Instant endsAt) {

  /** Returns whether the fault matches a request with this method and path, or with this body. */
  public boolean matches(String text) {
    return match.isEmpty() || text.contains(match);
  }
}
