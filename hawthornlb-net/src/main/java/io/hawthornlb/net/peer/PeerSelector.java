package io.hawthornlb.net.peer;

import io.hawthornlb.core.membership.ListedProcess;
import io.hawthornlb.core.model.InstanceId;
import java.util.List;
import java.util.Set;

/** Chooses the peers that are connected before there is a message for them. */
@FunctionalInterface
public interface PeerSelector {

  /** Returns the chosen ones of the listed entries, which do not hold the own instance. */
  Set<InstanceId> select(List<ListedProcess> entries);
}
