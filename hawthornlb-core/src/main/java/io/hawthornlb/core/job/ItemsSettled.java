package io.hawthornlb.core.job;

import io.hawthornlb.core.model.JobId;
import io.hawthornlb.core.peer.PeerMessage;
import java.util.List;

/**
 * Tells a steward that reports on items are durable or not wanted, so that it may forget them.
 *
 * <p>A steward keeps each {@link ItemFinished} and {@link ItemFailed} until then, and sends it
 * again every second to whoever holds the partition; so a holder that dies takes no results with
 * it.
 *
 * @param job the job
 * @param items indexes of the items
 */
public record ItemsSettled(JobId job, List<Integer> items) implements PeerMessage {

  /** Copies the items. */
  public ItemsSettled {
    items = List.copyOf(items);
  }
}
