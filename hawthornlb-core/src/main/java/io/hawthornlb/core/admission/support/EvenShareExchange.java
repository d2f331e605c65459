package io.hawthornlb.core.admission.support;

import io.hawthornlb.core.admission.DemandDigest;
import io.hawthornlb.core.admission.ShareExchange;
import io.hawthornlb.core.admission.ShareKey;
import io.hawthornlb.core.model.DataCentre;
import io.hawthornlb.core.model.InstanceId;
import java.time.Instant;
import java.util.List;
import java.util.Map;

/**
 * Simple exchange that gives each entry instance the same share, whatever its demand.
 *
 * <p>It is the reference implementation in differential tests and the baseline of measurements.
 */
public final class EvenShareExchange implements ShareExchange {

  private final InstanceId self;
  private final DataCentre dataCentre;
  private int entries = 1;

  /** Creates the exchange of an entry instance. */
  public EvenShareExchange(InstanceId self, DataCentre dataCentre) {
    this.self = self;
    this.dataCentre = dataCentre;
  }

  @Override
  public void onEntries(Map<InstanceId, DataCentre> fleet, Instant now) {
    entries = Math.max(1, fleet.size());
  }

  @Override
  public void onDigest(DemandDigest digest, Instant now) {}

  @Override
  public void demand(ShareKey key, double amount) {}

  @Override
  public DemandDigest digest(Instant now) {
    return new DemandDigest(self, dataCentre, now.toEpochMilli(), List.of());
  }

  @Override
  public double share(ShareKey key, double limit, Instant now) {
    return limit / entries;
  }
}
