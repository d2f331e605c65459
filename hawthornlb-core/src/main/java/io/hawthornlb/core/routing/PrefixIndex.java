package io.hawthornlb.core.routing;

import io.hawthornlb.core.model.EndpointId;
import java.time.Instant;
import java.util.Collection;
import java.util.List;

/** Knows which endpoints probably hold a prefix; every answer is a hint with an age. */
public interface PrefixIndex {

  /** Takes cache events of an endpoint, late and with gaps. */
  void onEvents(EndpointId endpoint, List<PrefixEvent> events, Instant now);

  /** Notes that a request with these prefixes was sent to an endpoint, ahead of any event. */
  void onRouted(EndpointId endpoint, List<String> prefixes, Instant now);

  /** Drops all hints about an endpoint that has restarted or gone. */
  void onLost(EndpointId endpoint, Instant now);

  /** Returns the endpoints that may hold a prefix, most recent first, a few at most. */
  Collection<EndpointId> holders(String prefix, Instant now);

  /** Returns how likely it is that an endpoint holds a prefix, 0 to 1. */
  double confidence(EndpointId endpoint, String prefix, Instant now);
}
