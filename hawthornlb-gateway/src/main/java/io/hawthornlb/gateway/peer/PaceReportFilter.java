package io.hawthornlb.gateway.peer;

import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.Map;

/**
 * Decides which reports of an endpoint's pace the coordinator must get.
 *
 * <p>Endpoints report a pace in each response, mostly the usual one. A datagram for each response
 * would double the load of a coordinator, so a usual pace is only passed on if it ends an unusual
 * one that the coordinator still counts on.
 */
public final class PaceReportFilter {

  private static final int USUAL_PERCENT = 100;

  /** Largest difference from the usual pace that counts as usual. */
  private static final int TOLERANCE_PERCENT = 20;

  /** Time for which the coordinator counts on a report. */
  private static final Duration VALID = Duration.ofMillis(600);

  /** Number of endpoints from which on those with expired reports are dropped. */
  private static final int MANY_ENDPOINTS = 1_000;

  private final Map<String, Instant> lastUnusual = new HashMap<>();

  /** Returns whether to pass on a pace that an endpoint reported, and records it as passed on. */
  public boolean passes(String endpoint, int percent, Instant now) {
    if (Math.abs(percent - USUAL_PERCENT) > TOLERANCE_PERCENT) {
      if (lastUnusual.size() >= MANY_ENDPOINTS) {
        lastUnusual.values().removeIf(last -> !valid(last, now));
      }
      lastUnusual.put(endpoint, now);
      return true;
    }
    Instant last = lastUnusual.remove(endpoint);
    return last != null && valid(last, now);
  }

  private static boolean valid(Instant last, Instant now) {
    return now.isBefore(last.plus(VALID));
  }
}
