package io.hawthornlb.core.routing;

import io.hawthornlb.core.model.InstanceId;
import io.hawthornlb.core.peer.PeerMessage;
import java.time.Instant;
import java.util.List;

/**
 * Reports the numbers of requests that one entry instance has in flight to its peers.
 *
 * @param sender the entry instance that sends the digest
 * @param asOf time for which the counts hold
 * @param whole true if endpoints that are not listed have no requests in flight; false if their
 *     counts have not changed
 * @param counts number of requests for each endpoint
 */
public record InFlightDigest(InstanceId sender, Instant asOf, boolean whole, List<InFlight> counts)
    implements PeerMessage {

  /** Copies the list of counts. */
  public InFlightDigest {
    counts = List.copyOf(counts);
  }
}
