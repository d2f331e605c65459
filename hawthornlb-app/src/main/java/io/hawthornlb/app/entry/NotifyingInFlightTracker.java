package io.hawthornlb.app.entry;

import io.hawthornlb.core.model.EndpointId;
import io.hawthornlb.core.model.InstanceId;
import io.hawthornlb.core.routing.InFlightDigest;
import io.hawthornlb.core.routing.InFlightTracker;
import java.time.Instant;
import java.util.Optional;
import java.util.function.Consumer;

/**
 * Notifies a listener of each change in the number of requests that this instance has in flight at
 * an endpoint.
 *
 * <p>The notification informs the dispatcher of the endpoint about a burst immediately. A digest
 * would inform the dispatcher only at the next tick.
 */
public final class NotifyingInFlightTracker implements InFlightTracker {

  private final InFlightTracker tracker;
  private Consumer<EndpointId> listener = endpoint -> {};

  NotifyingInFlightTracker(InFlightTracker tracker) {
    this.tracker = tracker;
  }

  /** Sets the listener. By default there is none. */
  public void listener(Consumer<EndpointId> value) {
    listener = value;
  }

  @Override
  public void onStarted(EndpointId endpoint, Instant now) {
    tracker.onStarted(endpoint, now);
    listener.accept(endpoint);
  }

  @Override
  public void onFinished(EndpointId endpoint, Instant now) {
    tracker.onFinished(endpoint, now);
    listener.accept(endpoint);
  }

  @Override
  public void onDigest(InFlightDigest digest, Instant now) {
    tracker.onDigest(digest, now);
  }

  @Override
  public void onPeerGone(InstanceId peer, Instant now) {
    tracker.onPeerGone(peer, now);
  }

  @Override
  public Optional<InFlightDigest> digest(Instant now) {
    return tracker.digest(now);
  }

  @Override
  public int own(EndpointId endpoint) {
    return tracker.own(endpoint);
  }

  @Override
  public int changeSince(EndpointId endpoint, Instant since) {
    return tracker.changeSince(endpoint, since);
  }

  @Override
  public int total(EndpointId endpoint) {
    return tracker.total(endpoint);
  }
}
