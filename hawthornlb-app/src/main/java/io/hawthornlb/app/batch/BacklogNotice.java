package io.hawthornlb.app.batch;

import io.hawthornlb.core.job.ServiceBacklog;
import io.hawthornlb.core.model.InstanceId;
import io.hawthornlb.core.model.PartitionId;
import io.hawthornlb.core.peer.PeerMessage;
import java.util.List;

/**
 * Tells stewards that a partition has items to give out.
 *
 * @param holder who gives them out
 * @param partition the partition
 * @param backlog the items by service
 */
public record BacklogNotice(InstanceId holder, PartitionId partition, List<ServiceBacklog> backlog)
    implements PeerMessage {

  /** Copies the backlog. */
  public BacklogNotice {
    backlog = List.copyOf(backlog);
  }
}
