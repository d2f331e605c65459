package io.hawthornlb.core.routing;

import io.hawthornlb.core.model.InstanceId;
import io.hawthornlb.core.peer.PeerMessage;
import java.time.Instant;
import java.util.List;

/**
 * Tells peers which counts of requests in flight have changed since the last digest.
 *
 * @param sender whose requests they are
 * @param asOf when it was true
 * @param counts the counts that have changed
 */
public record InFlightDigest(InstanceId sender, Instant asOf, List<InFlight> counts)
    implements PeerMessage {

  /** Copies the counts. */
  public InFlightDigest {
    counts = List.copyOf(counts);
  }
}
