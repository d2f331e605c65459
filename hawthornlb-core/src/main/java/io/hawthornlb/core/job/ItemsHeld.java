package io.hawthornlb.core.job;

import io.hawthornlb.core.model.InstanceId;
import io.hawthornlb.core.peer.PeerMessage;
import java.util.List;

/**
 * Lists the items that a dispatcher has in progress. A dispatcher sends the list every second and
 * to each new holder.
 *
 * <p>A new holder adopts the listed items, so that they are not run again. An item that is assigned
 * to the dispatcher and that its lists do not name for {@link JobSettings#dispatcherTimeout()}
 * counts as lost.
 *
 * @param steward the dispatcher
 * @param items the items of the partition that the dispatcher has in progress, and those whose
 *     results it keeps; not the items that it gave back
 */
public record ItemsHeld(InstanceId steward, List<ItemKey> items) implements JobEvent, PeerMessage {

  /** Copies the items. */
  public ItemsHeld {
    items = List.copyOf(items);
  }
}
