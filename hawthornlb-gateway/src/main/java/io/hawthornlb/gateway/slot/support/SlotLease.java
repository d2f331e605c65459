package io.hawthornlb.gateway.slot.support;

import io.hawthornlb.gateway.slot.SlotKey;
import java.time.Instant;

/** A use of a slot that the coordinator knows of. */
record SlotLease(
    SlotKey key,
    String endpoint,
    String endpointDataCentre,
    String dataCentre,
    boolean batch,
    long rank,
    long fingerprint,
    Instant since,
    Instant renewed) {

  SlotLease renewedAt(Instant now) {
    return new SlotLease(
        key, endpoint, endpointDataCentre, dataCentre, batch, rank, fingerprint, since, now);
  }
}
