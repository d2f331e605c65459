package io.hawthornlb.core.job;

import io.hawthornlb.core.model.InstanceId;
import io.hawthornlb.core.model.ServiceName;
import io.hawthornlb.core.peer.PeerMessage;
import io.hawthornlb.core.util.Checks;

/**
 * Asks the holder for items.
 *
 * <p>Answered by one {@link ItemsDispatched} if there is an item, and not at all otherwise.
 *
 * @param steward the instance that will run them
 * @param service the service of its endpoint
 * @param max the largest number of items
 */
public record PullItems(InstanceId steward, ServiceName service, int max)
    implements JobEvent, PeerMessage {

  /** Checks the number. */
  public PullItems {
    Checks.isTrue(max > 0, "max must be positive");
  }
}
