package io.hawthornlb.core.job;

import io.hawthornlb.core.model.JobId;
import io.hawthornlb.core.peer.PeerMessage;
import java.util.List;

/**
 * Tells a dispatcher to cancel running items at their endpoints and to send no reports about them.
 *
 * @param job the job
 * @param items the indexes of the items in the job
 */
public record ItemsCancelled(JobId job, List<Integer> items) implements PeerMessage {

  /** Copies the items. */
  public ItemsCancelled {
    items = List.copyOf(items);
  }
}
