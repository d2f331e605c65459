package io.hawthornlb.core.job;

import io.hawthornlb.core.model.EndpointId;
import io.hawthornlb.core.model.InstanceId;
import io.hawthornlb.core.model.ServiceName;
import io.hawthornlb.core.peer.PeerMessage;
import io.hawthornlb.core.util.Checks;

/**
 * Asks the holder for items.
 *
 * <p>Answered by an {@link ItemsDispatched}, which is empty if there is none now. Items that may
 * not be executed twice come in further ones, once the log says that they are started.
 *
 * @param steward the instance that will run them
 * @param endpoint the endpoint that will run them; given back with the items
 * @param service the service of its endpoint
 * @param max the largest number of items
 */
public record PullJobItems(InstanceId steward, EndpointId endpoint, ServiceName service, int max)
    implements JobEvent, PeerMessage {

  /** Checks the number. */
  public PullJobItems {
    Checks.isTrue(max > 0, "max must be positive");
  }
}
