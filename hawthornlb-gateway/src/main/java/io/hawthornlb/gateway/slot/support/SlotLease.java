package io.hawthornlb.gateway.slot.support;

import io.hawthornlb.gateway.endpoint.EndpointLife;
import io.hawthornlb.gateway.slot.SlotKey;
import java.time.Instant;

/** A use of a slot that the coordinator knows of. */
record SlotLease(
    SlotKey key,
    EndpointLife life,
    String endpointDataCentre,
    String dataCentre,
    boolean batch,
    long rank,
    long fingerprint,
    Instant since,
    Instant renewed) {

  /** Returns the id of the endpoint. */
  String endpoint() {
    return life.id();
  }

  /** Returns the use as its holder tells it, which knows best at which life it is. */
  SlotLease renewed(EndpointLife told, Instant now) {
    return new SlotLease(
        key, told, endpointDataCentre, dataCentre, batch, rank, fingerprint, since, now);
  }
}
