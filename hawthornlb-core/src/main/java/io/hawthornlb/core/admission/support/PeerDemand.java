package io.hawthornlb.core.admission.support;

import io.hawthornlb.core.admission.Demand;
import io.hawthornlb.core.admission.DemandDigest;
import io.hawthornlb.core.admission.ShareKey;
import io.hawthornlb.core.model.DataCentre;
import java.time.Instant;
import java.util.HashMap;
import java.util.Map;

/** The latest demand that a peer has reported. */
final class PeerDemand {

  private final DataCentre dataCentre;
  private Map<ShareKey, Double> amounts = Map.of();
  private long sequence = Long.MIN_VALUE;
  private Instant heardAt;

  PeerDemand(DataCentre dataCentre, Instant now) {
    this.dataCentre = dataCentre;
    this.heardAt = now;
  }

  /** Applies a digest, unless a later one has already arrived. */
  void update(DemandDigest digest, Instant now) {
    heardAt = now;
    if (digest.sequence() <= sequence) {
      return;
    }
    sequence = digest.sequence();
    Map<ShareKey, Double> reported = new HashMap<>();
    for (Demand demand : digest.demands()) {
      reported.put(demand.key(), demand.amount());
    }
    amounts = reported;
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
