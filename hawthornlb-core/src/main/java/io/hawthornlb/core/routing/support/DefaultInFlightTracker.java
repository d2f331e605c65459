package io.hawthornlb.core.routing.support;

import io.hawthornlb.core.endpoint.CountHistory;
import io.hawthornlb.core.model.EndpointId;
import io.hawthornlb.core.model.InstanceId;
import io.hawthornlb.core.routing.InFlight;
import io.hawthornlb.core.routing.InFlightDigest;
import io.hawthornlb.core.routing.InFlightTracker;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/** Tracker that keeps a short history for each endpoint and the latest counts of each peer. */
public final class DefaultInFlightTracker implements InFlightTracker {

  private static final Duration WHOLE_DIGEST_INTERVAL = Duration.ofSeconds(5);

  private final InstanceId self;
  private final Map<EndpointId, CountHistory> own = new HashMap<>();
  private final Map<EndpointId, CountHistory> all = new HashMap<>();
  private final Map<InstanceId, Map<EndpointId, Integer>> peers = new HashMap<>();
  private final Set<EndpointId> changed = new HashSet<>();
  private Instant lastWhole = Instant.MIN;

  /** Creates the tracker of an instance. */
  public DefaultInFlightTracker(InstanceId self) {
    this.self = self;
  }

  @Override
  public void onStarted(EndpointId endpoint, Instant now) {
    addOwn(endpoint, 1, now);
  }

  @Override
  public void onFinished(EndpointId endpoint, Instant now) {
    if (own(endpoint) > 0) {
      addOwn(endpoint, -1, now);
    }
  }

  @Override
  public void onDigest(InFlightDigest digest, Instant now) {
    Map<EndpointId, Integer> counts =
        peers.computeIfAbsent(digest.sender(), key -> new HashMap<>());
    Set<EndpointId> unlisted = digest.whole() ? new HashSet<>(counts.keySet()) : new HashSet<>();
    for (InFlight count : digest.counts()) {
      setPeer(counts, count.endpoint(), count.count(), now);
      unlisted.remove(count.endpoint());
    }
    // A lost digest would leave its counts wrong forever; a whole digest corrects them.
    unlisted.forEach(endpoint -> setPeer(counts, endpoint, 0, now));
  }

  @Override
  public void onPeerGone(InstanceId peer, Instant now) {
    Map<EndpointId, Integer> counts = peers.remove(peer);
    if (counts != null) {
      counts.forEach((endpoint, count) -> history(all, endpoint).add(-count, now));
    }
  }

  @Override
  public Optional<InFlightDigest> digest(Instant now) {
    boolean whole =
        lastWhole == Instant.MIN || !now.isBefore(lastWhole.plus(WHOLE_DIGEST_INTERVAL));
    if (!whole && changed.isEmpty()) {
      return Optional.empty();
    }
    List<InFlight> counts = new ArrayList<>();
    for (EndpointId endpoint : whole ? own.keySet() : changed) {
      if (!whole || own(endpoint) > 0) {
        counts.add(new InFlight(endpoint, own(endpoint)));
      }
    }
    changed.clear();
    lastWhole = whole ? now : lastWhole;
    return Optional.of(new InFlightDigest(self, now, whole, counts));
  }

  @Override
  public int changeSince(EndpointId endpoint, Instant since) {
    CountHistory history = all.get(endpoint);
    return history == null ? 0 : history.changeSince(since);
  }

  @Override
  public int total(EndpointId endpoint) {
    CountHistory history = all.get(endpoint);
    return history == null ? 0 : history.current();
  }

  @Override
  public int own(EndpointId endpoint) {
    CountHistory history = own.get(endpoint);
    return history == null ? 0 : history.current();
  }

  private void addOwn(EndpointId endpoint, int change, Instant now) {
    history(own, endpoint).add(change, now);
    history(all, endpoint).add(change, now);
    changed.add(endpoint);
  }

  private void setPeer(
      Map<EndpointId, Integer> counts, EndpointId endpoint, int count, Instant now) {
    Integer before = count == 0 ? counts.remove(endpoint) : counts.put(endpoint, count);
    int change = count - (before == null ? 0 : before);
    if (change != 0) {
      history(all, endpoint).add(change, now);
    }
  }

  private static CountHistory history(Map<EndpointId, CountHistory> map, EndpointId endpoint) {
    return map.computeIfAbsent(endpoint, key -> new CountHistory());
  }
}
