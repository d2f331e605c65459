package io.hawthornlb.core.job;

import io.hawthornlb.core.model.JobId;
import io.hawthornlb.core.peer.PeerMessage;
import java.util.List;

/**
 * Tells a steward to cancel running items at their endpoints and to report nothing on them.
 *
 * @param job the job
 * @param items indexes of the items
 */
public record ItemsCancelled(JobId job, List<Integer> items) implements PeerMessage {

  /** Copies the items. */
  public ItemsCancelled {
    items = List.copyOf(items);
  }
}
