package io.hawthornlb.gateway.job;

import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.Map;
import java.util.Set;

/**
 * Decides when items end because their route was removed. Performs no I/O.
 *
 * <p>Such an item cannot run, and its caller waits for a result. A later version may have the route
 * again, so the item waits a few seconds before it ends. A listed result is final, so the wait
 * counts only up to the moment as of which the configuration is known to be complete: a process
 * that is cut off from the store may lack a version that has the route.
 */
final class RouteAbsences {

  /** Time for which an item waits for a version that has its route again. */
  static final Duration MAX_WAIT = Duration.ofSeconds(5);

  /**
   * Age up to which such a moment counts. A process that was cut off since does not know whether
   * the route is back.
   */
  private static final Duration MAX_PROOF_AGE = Duration.ofSeconds(3);

  private final Map<String, Instant> missingSince = new HashMap<>();

  /** Takes note of whether an item has a route. */
  void update(String item, boolean routed, Instant now) {
    if (routed) {
      missingSince.remove(item);
    } else {
      missingSince.putIfAbsent(item, now);
    }
  }

  /** Returns whether all items have a route. */
  boolean isEmpty() {
    return missingSince.isEmpty();
  }

  /** Forgets all items but the given ones. */
  void retain(Set<String> items) {
    missingSince.keySet().retainAll(items);
  }

  /**
   * Returns whether an item ends.
   *
   * @param provenAsOf moment up to which all versions of the configuration are known
   */
  boolean over(String item, Instant now, Instant provenAsOf) {
    Instant since = missingSince.get(item);
    return since != null
        && !provenAsOf.isBefore(since.plus(MAX_WAIT))
        && !provenAsOf.isBefore(now.minus(MAX_PROOF_AGE));
  }
}
