package io.hawthornlb.app.batch;

import io.hawthornlb.core.job.ServiceBacklog;
import io.hawthornlb.core.model.InstanceId;
import io.hawthornlb.core.model.PartitionId;
import io.hawthornlb.core.peer.PeerMessage;
import java.util.List;

/**
 * Reports the items of a partition that wait for dispatch to the batch dispatchers.
 *
 * @param holder the holder of the partition
 * @param partition the partition
 * @param backlog the waiting items by service
 */
public record BacklogNotice(InstanceId holder, PartitionId partition, List<ServiceBacklog> backlog)
    implements PeerMessage {

  /** Copies the backlog. */
  public BacklogNotice {
    backlog = List.copyOf(backlog);
  }
}
