package io.hawthornlb.core.admission;

import io.hawthornlb.core.model.DataCentre;
import io.hawthornlb.core.model.InstanceId;
import io.hawthornlb.core.peer.PeerMessage;
import java.util.List;

/**
 * Reports the demand of one entry instance to its peers, for the limits in use only.
 *
 * @param sender the entry instance that sends the digest
 * @param dataCentre data centre of the sender
 * @param sequence sequence number, which increases with each digest of the sender
 * @param demands demand for each limit; a limit that is not listed has none
 */
public record DemandDigest(
    InstanceId sender, DataCentre dataCentre, long sequence, List<Demand> demands)
    implements PeerMessage {

  /** Copies the list of demands. */
  public DemandDigest {
    demands = List.copyOf(demands);
  }
}
