package io.hawthornlb.gateway.slot.support;

import io.hawthornlb.gateway.endpoint.EndpointRecord;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayDeque;
import java.util.Comparator;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;
import org.jspecify.annotations.Nullable;

/**
 * Connections that holders are likely to keep, each since a use of theirs ended.
 *
 * <p>Load pattern: a large fleet serves few requests an instance, at many endpoints. Each instance
 * keeps its own connections, so that every other request opens a new one. So a holder goes where it
 * has been, among endpoints that are as good for it. A guess that is wrong costs a connection.
 */
final class KeptConnections {

  /** Time for which a connection is taken for kept; endpoints that name a time name seconds. */
  private static final Duration KEPT = Duration.ofSeconds(5);

  /** Time between looks for what has rested too long; there are thousands on a crest. */
  private static final Duration LOOK_EVERY = Duration.ofSeconds(1);

  private static final Instant NEVER = Instant.MIN;

  /** By holder and endpoint, when the uses ended whose connections no use has taken since. */
  private final Map<String, Map<String, Deque<Instant>>> ends = new HashMap<>();

  private Instant nextLook = Instant.MIN;

  /** Takes that a use of a holder has ended with a whole answer. */
  void ended(String holder, String endpoint, Instant now) {
    ends.computeIfAbsent(holder, any -> new HashMap<>())
        .computeIfAbsent(endpoint, any -> new ArrayDeque<>())
        .push(now);
  }

  /** Takes that a holder uses an endpoint, by the connection that rested least if it has one. */
  void used(String holder, String endpoint) {
    Map<String, Deque<Instant>> ofHolder = ends.get(holder);
    Deque<Instant> atEndpoint = ofHolder == null ? null : ofHolder.get(endpoint);
    if (ofHolder != null && atEndpoint != null) {
      atEndpoint.pop();
      if (atEndpoint.isEmpty()) {
        ofHolder.remove(endpoint);
      }
    }
  }

  /** Forgets the connections to an endpoint that has started again. */
  void forget(String endpoint) {
    ends.values().forEach(ofHolder -> ofHolder.remove(endpoint));
  }

  /** Forgets what has rested too long; called now and again. */
  void expire(Instant now) {
    if (now.isBefore(nextLook)) {
      return;
    }
    nextLook = now.plus(LOOK_EVERY);
    Instant before = now.minus(KEPT);
    for (Map<String, Deque<Instant>> ofHolder : ends.values()) {
      ofHolder.values().forEach(atEndpoint -> atEndpoint.removeIf(before::isAfter));
      ofHolder.values().removeIf(Deque::isEmpty);
    }
    ends.values().removeIf(Map::isEmpty);
  }

  /** Returns whether a holder is likely to keep a connection to an endpoint. */
  boolean keeps(String holder, String endpoint) {
    Map<String, Deque<Instant>> ofHolder = ends.get(holder);
    return ofHolder != null && ofHolder.containsKey(endpoint);
  }

  /** Returns the order for a holder: where it kept a connection last comes first. */
  Comparator<EndpointRecord> order(String holder) {
    @Nullable Map<String, Deque<Instant>> ofHolder = ends.get(holder);
    if (ofHolder == null) {
      return (one, other) -> 0;
    }
    return Comparator.comparing(
        (EndpointRecord endpoint) -> lastEnd(ofHolder.get(endpoint.id())),
        Comparator.reverseOrder());
  }

  private static Instant lastEnd(@Nullable Deque<Instant> atEndpoint) {
    return atEndpoint == null ? NEVER : atEndpoint.getFirst();
  }
}
