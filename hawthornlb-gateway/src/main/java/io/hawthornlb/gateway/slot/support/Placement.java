package io.hawthornlb.gateway.slot.support;

import io.hawthornlb.gateway.endpoint.EndpointRecord;
import java.util.Comparator;
import java.util.function.ToIntFunction;

/** Orders endpoints that have a free slot; the first one in this order gets the request. */
interface Placement {

  /**
   * Returns the order for requests from a data centre.
   *
   * @param inUse returns how many slots of an endpoint are in use
   */
  Comparator<EndpointRecord> order(String dataCentre, ToIntFunction<EndpointRecord> inUse);

  /**
   * Returns whether a batch item at this endpoint is preempted before one at an endpoint that is
   * not preferred.
   */
  boolean prefers(EndpointRecord endpoint, String dataCentre);
}
