package io.hawthornlb.gateway.slot.support;

import io.hawthornlb.gateway.wire.ReportedLoad;
import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.Map;

/**
 * Requests at endpoints that no holder accounts for.
 *
 * <p>Load pattern: all gateways lose power at once. Endpoints do not notice, and run what they had
 * for seconds on, while the coordinator that starts anew takes their slots for free: requests queue
 * at the endpoints, where nobody can take them back. It shows as requests that wait at an endpoint.
 * What an endpoint tells beyond what is handed out counts as in use for a while.
 */
final class ForeignLoad {

  /**
   * Time for which what an endpoint told holds; one that is full answers more often, and tells it
   * anew.
   */
  private static final Duration VALID = Duration.ofMillis(500);

  private record Seen(int requests, Instant until) {}

  private final Map<String, Seen> seen = new HashMap<>();

  void told(String endpoint, ReportedLoad load, int handedOut, Instant now) {
    int foreign = load.running() + load.waiting() - handedOut;
    if (foreign > 0) {
      seen.put(endpoint, new Seen(foreign, now.plus(VALID)));
    } else {
      seen.remove(endpoint);
    }
  }

  /** Forgets what a former life of an endpoint told. */
  void forget(String endpoint) {
    seen.remove(endpoint);
  }

  int at(String endpoint, Instant now) {
    Seen requests = seen.get(endpoint);
    if (requests == null) {
      return 0;
    }
    if (!now.isBefore(requests.until())) {
      seen.remove(endpoint);
      return 0;
    }
    return requests.requests();
  }
}
