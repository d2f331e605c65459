package io.hawthornlb.gateway.slot.support;

import io.hawthornlb.gateway.endpoint.EndpointRecord;
import io.hawthornlb.gateway.slot.SlotRequest;
import java.time.Duration;

/**
 * Chooses who gets a free slot among online requests that came at about the same time.
 *
 * <p>Load pattern: on a crest slots come free one by one, and whoever waits longest gets each,
 * wherever it is. It shows as streams that cross borders while others wait on the right side, and
 * as gateways that open a connection to each endpoint of the fleet.
 */
final class NearestWaiter {

  /** Time between two requests within which their order does not matter to callers. */
  private static final Duration SAME_TIME = Duration.ofMillis(30);

  private final WaitingRequests waiting;
  private final Placement placement;
  private final KeptConnections connections;

  NearestWaiter(WaitingRequests waiting, Placement placement, KeptConnections connections) {
    this.waiting = waiting;
    this.placement = placement;
    this.connections = connections;
  }

  /** Returns the first request, or one that came soon after it and fits an endpoint better. */
  Waiter orNearer(Waiter first, EndpointRecord endpoint) {
    Waiter nearest = first;
    for (Waiter each : waiting.besides(first, SAME_TIME)) {
      if (fitsBetter(each.request(), nearest.request(), endpoint)) {
        nearest = each;
      }
    }
    return nearest;
  }

  private boolean fitsBetter(SlotRequest request, SlotRequest other, EndpointRecord endpoint) {
    boolean near = placement.prefers(endpoint, request.dataCentre());
    if (near != placement.prefers(endpoint, other.dataCentre())) {
      return near;
    }
    return connections.keeps(request.key().holder(), endpoint.id())
        && !connections.keeps(other.key().holder(), endpoint.id());
  }
}
