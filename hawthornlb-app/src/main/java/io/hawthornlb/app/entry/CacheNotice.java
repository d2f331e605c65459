package io.hawthornlb.app.entry;

import io.hawthornlb.core.model.EndpointId;
import io.hawthornlb.core.peer.PeerMessage;
import io.hawthornlb.core.routing.PrefixEvent;
import java.util.List;

/**
 * Tells peers of cache events of an endpoint.
 *
 * @param endpoint the endpoint
 * @param events its events
 */
public record CacheNotice(EndpointId endpoint, List<PrefixEvent> events) implements PeerMessage {

  /** Copies the events. */
  public CacheNotice {
    events = List.copyOf(events);
  }
}
