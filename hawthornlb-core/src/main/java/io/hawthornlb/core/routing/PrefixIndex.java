package io.hawthornlb.core.routing;

import io.hawthornlb.core.model.EndpointId;
import java.time.Instant;
import java.util.Collection;
import java.util.List;

/**
 * Index of the endpoints that probably hold a prompt prefix in their cache. Each entry is only a
 * hint, which loses confidence with age.
 */
public interface PrefixIndex {

  /** Handles cache events of an endpoint, which may arrive late and with gaps. */
  void onEvents(EndpointId endpoint, List<PrefixEvent> events, Instant now);

  /**
   * Records that a request with these prefixes was sent to an endpoint, before any cache event
   * arrives.
   */
  void onRouted(EndpointId endpoint, List<String> prefixes, Instant now);

  /** Invalidates all hints about an endpoint that has restarted or gone. */
  void onLost(EndpointId endpoint, Instant now);

  /** Returns the endpoints that may hold a prefix: a few at most, the most recent first. */
  Collection<EndpointId> holders(String prefix, Instant now);

  /** Returns the probability that an endpoint holds a prefix, from 0 to 1. */
  double confidence(EndpointId endpoint, String prefix, Instant now);
}
