package io.hawthornlb.core.job;

import io.hawthornlb.core.model.EndpointId;
import io.hawthornlb.core.model.InstanceId;
import io.hawthornlb.core.model.ServiceName;
import io.hawthornlb.core.peer.PeerMessage;
import io.hawthornlb.core.util.Checks;

/**
 * Asks the holder of a partition for items.
 *
 * <p>The holder replies with an {@link ItemsDispatched}, which is empty if no item is available.
 * Items that must not be executed twice are sent in messages of their own, once the log contains
 * the record that they are started.
 *
 * @param steward the instance that will run the items
 * @param endpoint the endpoint that will run the items; the reply repeats it
 * @param service the service of the endpoint
 * @param max the largest number of items
 */
public record PullJobItems(InstanceId steward, EndpointId endpoint, ServiceName service, int max)
    implements JobEvent, PeerMessage {

  /** Checks the number. */
  public PullJobItems {
    Checks.isTrue(max > 0, "max must be positive");
  }
}
