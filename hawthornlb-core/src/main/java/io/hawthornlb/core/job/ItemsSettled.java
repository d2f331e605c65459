package io.hawthornlb.core.job;

import io.hawthornlb.core.model.JobId;
import io.hawthornlb.core.peer.PeerMessage;
import java.util.List;

/**
 * Tells a dispatcher that the outcomes of items are durable or no longer needed, or that the items
 * will run again, so that it can discard its reports.
 *
 * <p>Until then, a dispatcher keeps each {@link ItemFinished} and {@link ItemFailed} and resends it
 * every second to the current holder of the partition. So no result is lost when a holder dies.
 *
 * @param job the job
 * @param items the indexes of the items in the job
 */
public record ItemsSettled(JobId job, List<Integer> items) implements PeerMessage {

  /** Copies the items. */
  public ItemsSettled {
    items = List.copyOf(items);
  }
}
