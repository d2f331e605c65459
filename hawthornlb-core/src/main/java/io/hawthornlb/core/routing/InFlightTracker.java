package io.hawthornlb.core.routing;

import io.hawthornlb.core.model.EndpointId;
import io.hawthornlb.core.model.InstanceId;
import java.time.Instant;
import java.util.Optional;

/** Counts the requests in flight at each endpoint, own ones and those of peers. */
public interface InFlightTracker {

  /** Counts a request that this instance has sent to an endpoint. */
  void onStarted(EndpointId endpoint, Instant now);

  /** Counts the end of such a request, however it ended. */
  void onFinished(EndpointId endpoint, Instant now);

  /** Takes the counts of a peer. */
  void onDigest(InFlightDigest digest, Instant now);

  /** Drops the counts of a peer that has left. */
  void onPeerGone(InstanceId peer, Instant now);

  /** Returns what changed since the last digest, or nothing if nothing did. */
  Optional<InFlightDigest> digest(Instant now);

  /** Returns the change of all known requests at an endpoint since a time. */
  int changeSince(EndpointId endpoint, Instant since);

  /** Returns the requests of this instance at an endpoint. */
  int own(EndpointId endpoint);

  /** Returns all known requests at an endpoint. */
  int total(EndpointId endpoint);
}
