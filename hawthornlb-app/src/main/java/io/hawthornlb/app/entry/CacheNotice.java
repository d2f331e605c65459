package io.hawthornlb.app.entry;

import io.hawthornlb.core.model.EndpointId;
import io.hawthornlb.core.peer.PeerMessage;
import io.hawthornlb.core.routing.PrefixEvent;
import java.util.List;

/**
 * Reports the prefix cache events of an endpoint to peers.
 *
 * @param endpoint the endpoint
 * @param events the cache events of the endpoint
 */
public record CacheNotice(EndpointId endpoint, List<PrefixEvent> events) implements PeerMessage {

  /** Copies the events. */
  public CacheNotice {
    events = List.copyOf(events);
  }
}
