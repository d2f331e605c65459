package io.hawthornlb.app.entry;

import io.hawthornlb.core.model.EndpointId;
import io.hawthornlb.core.model.InstanceId;
import io.hawthornlb.core.routing.InFlightDigest;
import io.hawthornlb.core.routing.InFlightTracker;
import java.time.Instant;
import java.util.Optional;

/** Counts nothing. */
final class NoInFlight implements InFlightTracker {

  @Override
  public void onStarted(EndpointId endpoint, Instant now) {}

  @Override
  public void onFinished(EndpointId endpoint, Instant now) {}

  @Override
  public void onDigest(InFlightDigest digest, Instant now) {}

  @Override
  public void onPeerGone(InstanceId peer, Instant now) {}

  @Override
  public Optional<InFlightDigest> digest(Instant now) {
    return Optional.empty();
  }

  @Override
  public int changeSince(EndpointId endpoint, Instant since) {
    return 0;
  }

  @Override
  public int total(EndpointId endpoint) {
    return 0;
  }
}
