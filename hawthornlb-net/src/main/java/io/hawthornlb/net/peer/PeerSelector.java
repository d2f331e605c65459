package io.hawthornlb.net.peer;

import io.hawthornlb.core.membership.ListedProcess;
import io.hawthornlb.core.model.InstanceId;
import java.util.List;
import java.util.Set;

/** Selects the peers to which a connection is kept open even without messages for them. */
@FunctionalInterface
public interface PeerSelector {

  /** Returns the selected ones of the listed entry instances, which exclude this instance. */
  Set<InstanceId> select(List<ListedProcess> entries);
}
