package io.hawthornlb.core.workspace.support;

import io.hawthornlb.core.model.WorkspaceId;
import io.hawthornlb.core.workspace.WorkspaceLimit;
import java.time.Instant;

/** One way of limiting workspaces over a fleet whose data centres may be cut off. */
interface LimitedFleet {

  /** Returns whether a request that arrives at an instance may run. */
  boolean request(
      int instance, String service, WorkspaceId workspace, WorkspaceLimit limit, Instant now);

  /** Sends the messages that are due. */
  void tick(Instant now);

  /** Cuts a data centre off; -1 to heal. */
  void cut(int dataCentre);

  /** Restarts all instances. */
  void restartAll(Instant now);

  /** Restarts the instance that decides for a service; nothing if there is none. */
  void restartDecider(String service, Instant now);

  /** Returns the number of datagrams sent so far. */
  long datagrams();
}
