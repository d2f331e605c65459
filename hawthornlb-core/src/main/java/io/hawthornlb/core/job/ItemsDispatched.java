package io.hawthornlb.core.job;

import io.hawthornlb.core.model.EndpointId;
import io.hawthornlb.core.model.PartitionId;
import io.hawthornlb.core.model.ServiceName;
import io.hawthornlb.core.peer.PeerMessage;
import java.util.List;

/**
 * Assigns items to a dispatcher, which reads their bodies from the stream of the partition.
 *
 * @param partition the partition
 * @param endpoint the endpoint that the dispatcher named in its {@link PullJobItems}
 * @param service the service that runs the items
 * @param items the assigned items; empty if none is available
 */
public record ItemsDispatched(
    PartitionId partition, EndpointId endpoint, ServiceName service, List<ItemDispatch> items)
    implements PeerMessage {

  /** Copies the items. */
  public ItemsDispatched {
    items = List.copyOf(items);
  }
}
