package io.hawthornlb.app.settings;

import io.hawthornlb.core.membership.ListedKind;
import io.hawthornlb.core.membership.ListedProcess;
import io.hawthornlb.core.membership.ListedState;
import io.hawthornlb.core.model.DataCentre;
import io.hawthornlb.core.model.InstanceId;
import java.util.Optional;

/**
 * A peer that is configured in the settings.
 *
 * @param id the id of the peer
 * @param dataCentre the data centre in which the peer runs
 * @param address the address on which it listens for peers
 */
public record KnownPeer(InstanceId id, DataCentre dataCentre, NetworkAddress address) {

  /** Converts the peer to an element of the platform's instance list, in state live. */
  public ListedProcess toListedProcess() {
    return new ListedProcess(
        id.value(),
        ListedKind.ENTRY,
        Optional.empty(),
        dataCentre,
        address.toString(),
        ListedState.LIVE);
  }
}
