package io.hawthornlb.gateway.slot.support;

import io.hawthornlb.gateway.endpoint.EndpointRecord;
import java.util.Comparator;
import java.util.function.ToIntFunction;

/** Orders endpoints that have a free slot; the first one gets the request. */
interface Placement {

  /**
   * Returns the order for requests from a data centre.
   *
   * @param inUse tells how many slots of an endpoint are in use
   */
  Comparator<EndpointRecord> order(String dataCentre, ToIntFunction<EndpointRecord> inUse);

  /** Returns whether an item is to give way here before one at another endpoint does. */
  boolean prefers(EndpointRecord endpoint, String dataCentre);
}
