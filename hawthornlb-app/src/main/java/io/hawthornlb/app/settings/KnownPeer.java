package io.hawthornlb.app.settings;

import io.hawthornlb.core.membership.ListedKind;
import io.hawthornlb.core.membership.ListedProcess;
import io.hawthornlb.core.membership.ListedState;
import io.hawthornlb.core.model.DataCentre;
import io.hawthornlb.core.model.InstanceId;
import java.util.Optional;

/**
 * A peer that the settings name.
 *
 * @param id its name
 * @param dataCentre where it runs
 * @param address where it listens for peers
 */
public record KnownPeer(InstanceId id, DataCentre dataCentre, NetworkAddress address) {

  /** Returns the peer as an element of the platform's list. */
  public ListedProcess listed() {
    return new ListedProcess(
        id.value(),
        ListedKind.ENTRY,
        Optional.empty(),
        dataCentre,
        address.toString(),
        ListedState.LIVE);
  }
}
