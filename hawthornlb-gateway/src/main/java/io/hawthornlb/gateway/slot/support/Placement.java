package io.hawthornlb.gateway.slot.support;

import io.hawthornlb.gateway.endpoint.EndpointRecord;
import java.time.Instant;
import java.util.List;
import java.util.Optional;
import java.util.function.ToIntFunction;

/** Chooses among endpoints that have a free slot. */
interface Placement {

  /**
   * Returns the endpoint that gets a request from a data centre; empty if there are none.
   *
   * @param free endpoints that have a free slot
   * @param inUse returns how many slots of an endpoint are in use
   */
  Optional<EndpointRecord> choose(
      List<EndpointRecord> free,
      String dataCentre,
      ToIntFunction<EndpointRecord> inUse,
      Instant now);

  /**
   * Returns whether a batch item at this endpoint is preempted before one at an endpoint that is
   * not preferred.
   */
  boolean prefers(EndpointRecord endpoint, String dataCentre, Instant now);
}
