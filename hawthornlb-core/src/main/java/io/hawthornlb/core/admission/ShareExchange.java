package io.hawthornlb.core.admission;

import io.hawthornlb.core.model.DataCentre;
import io.hawthornlb.core.model.InstanceId;
import java.time.Instant;
import java.util.Map;

/**
 * Divides the limits of the fleet among entry instances by demand. Implementations are confined to
 * one thread.
 */
public interface ShareExchange {

  /** Updates the entry instances of the fleet with their data centres, including this instance. */
  void onEntries(Map<InstanceId, DataCentre> entries, Instant now);

  /** Updates the demand of a peer. */
  void onDigest(DemandDigest digest, Instant now);

  /** Sets the demand of this entry instance for a limit; zero removes it. */
  void demand(ShareKey key, double amount);

  /** Returns the demand of this entry instance, to be sent to its peers at least once a second. */
  DemandDigest digest(Instant now);

  /** Returns this entry instance's share of a limit, which is never less than a minimum share. */
  double share(ShareKey key, double limit, Instant now);
}
