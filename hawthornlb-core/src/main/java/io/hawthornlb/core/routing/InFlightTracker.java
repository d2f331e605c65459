package io.hawthornlb.core.routing;

import io.hawthornlb.core.model.EndpointId;
import io.hawthornlb.core.model.InstanceId;
import java.time.Instant;
import java.util.Optional;

/**
 * Counts the requests in flight at each endpoint, those of this instance and those of its peers.
 */
public interface InFlightTracker {

  /** Counts a request that this instance has sent to an endpoint. */
  void onStarted(EndpointId endpoint, Instant now);

  /** Counts the end of such a request, whatever its outcome. */
  void onFinished(EndpointId endpoint, Instant now);

  /** Updates the counts of a peer. */
  void onDigest(InFlightDigest digest, Instant now);

  /** Removes the counts of a peer that has left the fleet. */
  void onPeerGone(InstanceId peer, Instant now);

  /**
   * Returns the counts that changed since the last digest, or all counts when a whole digest is
   * due; empty if there is nothing to report.
   */
  Optional<InFlightDigest> digest(Instant now);

  /** Returns by how much the number of known requests at an endpoint has changed since a time. */
  int changeSince(EndpointId endpoint, Instant since);

  /** Returns the number of requests of this instance at an endpoint. */
  int own(EndpointId endpoint);

  /** Returns the number of all known requests at an endpoint. */
  int total(EndpointId endpoint);
}
