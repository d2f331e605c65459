package io.hawthornlb.core.routing;

import io.hawthornlb.core.model.InstanceId;
import io.hawthornlb.core.peer.PeerMessage;
import java.time.Instant;
import java.util.List;

/**
 * Tells peers the counts of requests in flight of one entry.
 *
 * @param sender whose requests they are
 * @param asOf when it was true
 * @param whole whether endpoints that are left out have none, or have not changed
 * @param counts the counts
 */
public record InFlightDigest(InstanceId sender, Instant asOf, boolean whole, List<InFlight> counts)
    implements PeerMessage {

  /** Copies the counts. */
  public InFlightDigest {
    counts = List.copyOf(counts);
  }
}
