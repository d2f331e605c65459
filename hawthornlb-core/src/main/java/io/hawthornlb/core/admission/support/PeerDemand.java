package io.hawthornlb.core.admission.support;

import io.hawthornlb.core.admission.Demand;
import io.hawthornlb.core.admission.DemandDigest;
import io.hawthornlb.core.admission.ShareKey;
import io.hawthornlb.core.model.DataCentre;
import java.time.Instant;
import java.util.HashMap;
import java.util.Map;

/** The last demand that one peer has told. */
final class PeerDemand {

  private final DataCentre dataCentre;
  private Map<ShareKey, Double> amounts = Map.of();
  private long sequence = Long.MIN_VALUE;
  private Instant heardAt;

  PeerDemand(DataCentre dataCentre, Instant now) {
    this.dataCentre = dataCentre;
    this.heardAt = now;
  }

  /** Takes a digest unless a later one has come. */
  void take(DemandDigest digest, Instant now) {
    heardAt = now;
    if (digest.sequence() <= sequence) {
      return;
    }
    sequence = digest.sequence();
    Map<ShareKey, Double> taken = new HashMap<>();
    for (Demand demand : digest.demands()) {
      taken.put(demand.key(), demand.amount());
    }
    amounts = taken;
  }

  DataCentre dataCentre() {
    return dataCentre;
  }

  Map<ShareKey, Double> amounts() {
    return amounts;
  }

  Instant heardAt() {
    return heardAt;
  }
}
