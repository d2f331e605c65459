package io.hawthornlb.core.admission;

import io.hawthornlb.core.model.DataCentre;
import io.hawthornlb.core.model.InstanceId;
import java.time.Instant;
import java.util.List;
import java.util.Map;

/** Divides limits of the fleet between entries by demand. */
public interface ShareExchange {

  /** Takes the entries of the fleet with their data centres, this one included. */
  void onEntries(Map<InstanceId, DataCentre> entries, Instant now);

  /** Takes the demand of a peer. */
  void onDigest(DemandDigest digest, Instant now);

  /** Sets the demand of this entry and returns what its peers must hear. */
  DemandDigest publish(List<Demand> demands, Instant now);

  /** Returns this entry's share of a limit, at least its floor. */
  double share(ShareKey key, double limit, Instant now);
}
