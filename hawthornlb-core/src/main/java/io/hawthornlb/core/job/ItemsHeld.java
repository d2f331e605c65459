package io.hawthornlb.core.job;

import io.hawthornlb.core.model.InstanceId;
import io.hawthornlb.core.peer.PeerMessage;
import java.util.List;

/**
 * Says which items a steward has in progress; sent every second and to each new holder.
 *
 * <p>A new holder adopts the items, so that they are not run again. Items that were given to the
 * steward and that it does not name twice in a row are given out anew.
 *
 * @param steward the steward
 * @param items what it has in progress for the partition
 */
public record ItemsHeld(InstanceId steward, List<ItemKey> items) implements JobEvent, PeerMessage {

  /** Copies the items. */
  public ItemsHeld {
    items = List.copyOf(items);
  }
}
