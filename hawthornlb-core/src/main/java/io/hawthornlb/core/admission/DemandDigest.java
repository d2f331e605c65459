package io.hawthornlb.core.admission;

import io.hawthornlb.core.model.DataCentre;
import io.hawthornlb.core.model.InstanceId;
import io.hawthornlb.core.peer.PeerMessage;
import java.util.List;

/**
 * Tells peers the demand of one entry, for limits in use only.
 *
 * @param sender the entry
 * @param dataCentre where it runs
 * @param sequence rises with each digest of the sender
 * @param demands its demand; limits that are left out have none
 */
public record DemandDigest(
    InstanceId sender, DataCentre dataCentre, long sequence, List<Demand> demands)
    implements PeerMessage {

  /** Copies the demands. */
  public DemandDigest {
    demands = List.copyOf(demands);
  }
}
