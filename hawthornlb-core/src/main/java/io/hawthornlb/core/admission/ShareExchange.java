package io.hawthornlb.core.admission;

import io.hawthornlb.core.model.DataCentre;
import io.hawthornlb.core.model.InstanceId;
import java.time.Instant;
import java.util.Map;

/** Divides limits of the fleet between entries by demand; confined to one thread. */
public interface ShareExchange {

  /** Takes the entries of the fleet with their data centres, this one included. */
  void onEntries(Map<InstanceId, DataCentre> entries, Instant now);

  /** Takes the demand of a peer. */
  void onDigest(DemandDigest digest, Instant now);

  /** Sets the demand of this entry for a limit; zero forgets it. */
  void demand(ShareKey key, double amount);

  /** Returns the demand of this entry, which its peers must hear at least once a second. */
  DemandDigest digest(Instant now);

  /** Returns this entry's share of a limit, never less than its floor. */
  double share(ShareKey key, double limit, Instant now);
}
