package io.hawthornlb.core.job;

import io.hawthornlb.core.model.EndpointId;
import io.hawthornlb.core.model.PartitionId;
import io.hawthornlb.core.model.ServiceName;
import io.hawthornlb.core.peer.PeerMessage;
import java.util.List;

/**
 * Gives items to a steward, which reads them from the stream of the partition.
 *
 * @param partition the partition
 * @param endpoint the endpoint of the question
 * @param service the service that runs them
 * @param items the items
 */
public record ItemsDispatched(
    PartitionId partition, EndpointId endpoint, ServiceName service, List<ItemDispatch> items)
    implements PeerMessage {

  /** Copies the items. */
  public ItemsDispatched {
    items = List.copyOf(items);
  }
}
