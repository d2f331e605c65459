package io.hawthornlb.core.endpoint.support;

import io.hawthornlb.core.effect.BroadcastPeerMessage;
import io.hawthornlb.core.effect.BroadcastScope;
import io.hawthornlb.core.effect.Effect;
import io.hawthornlb.core.endpoint.Endpoint;
import io.hawthornlb.core.endpoint.EndpointNotice;
import io.hawthornlb.core.endpoint.EndpointState;
import io.hawthornlb.core.endpoint.EndpointTable;
import io.hawthornlb.core.endpoint.EndpointTableSettings;
import io.hawthornlb.core.endpoint.LoadReport;
import io.hawthornlb.core.endpoint.Observation;
import io.hawthornlb.core.membership.ListedKind;
import io.hawthornlb.core.membership.ListedProcess;
import io.hawthornlb.core.membership.ListedState;
import io.hawthornlb.core.model.DataCentre;
import io.hawthornlb.core.model.EndpointId;
import io.hawthornlb.core.model.ServiceName;
import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/**
 * Table that combines the list of processes with observations of requests and probes.
 *
 * <p>Evidence that an endpoint leaves or fails takes effect at once; evidence that it is live again
 * takes effect only if it lasts.
 */
public final class ObservedEndpointTable implements EndpointTable {

  private static final int MIN_FOR_MASS_ABSENCE = 4;

  private final EndpointTableSettings settings;
  private final Map<EndpointId, TrackedEndpoint> endpoints = new HashMap<>();
  private final EndpointIndex index = new EndpointIndex();
  private Instant listAsOf = Instant.MIN;
  private boolean listed;

  /** Creates an empty table. */
  public ObservedEndpointTable(EndpointTableSettings settings) {
    this.settings = settings;
  }

  @Override
  public void onList(List<ListedProcess> processes, Instant asOf, Instant now) {
    if (asOf.isBefore(listAsOf)) {
      return;
    }
    listAsOf = asOf;
    Set<EndpointId> present = new HashSet<>();
    for (ListedProcess process : processes) {
      if (process.kind() == ListedKind.ENDPOINT && process.service().isPresent()) {
        present.add(update(process, process.service().get(), asOf, now));
      }
    }
    markAbsent(present, now);
    endpoints.values().removeIf(endpoint -> endpoint.forgettable(now));
    index.rebuild(
        endpoints.values().stream().filter(e -> e.state(now) != EndpointState.GONE).toList());
    listed = true;
  }

  @Override
  public void onLoad(EndpointId id, LoadReport report, Instant now) {
    TrackedEndpoint endpoint = endpoints.get(id);
    if (endpoint != null) {
      endpoint.updateLoad(report);
    }
  }

  @Override
  public List<Effect> onObservation(EndpointId id, Observation observation, Instant now) {
    TrackedEndpoint endpoint = endpoints.get(id);
    if (endpoint == null) {
      return List.of();
    }
    EndpointState before = endpoint.state(now);
    apply(endpoint, observation, now);
    boolean changed = endpoint.state(now) != before;
    // Without a notice each entry instance would have to run into the same fault itself. So peers
    // are informed of each change to a worse state; changes to a better state each entry instance
    // finds by its own probes.
    if (changed && observation != Observation.HEALTHY && observation != Observation.SUCCESS) {
      EndpointNotice notice = new EndpointNotice(id, observation, now);
      return List.of(new BroadcastPeerMessage(notice, BroadcastScope.FLEET));
    }
    return List.of();
  }

  @Override
  public void onNotice(EndpointNotice notice, Instant now) {
    TrackedEndpoint endpoint = endpoints.get(notice.endpoint());
    if (endpoint == null) {
      return;
    }
    if (notice.observation() == Observation.LEAVING) {
      endpoint.leaving(now);
    } else if (notice.observation() != Observation.HEALTHY
        && notice.observation() != Observation.SUCCESS) {
      endpoint.suspect(now);
    }
  }

  @Override
  public void quarantine(EndpointId id, Instant until) {
    Optional.ofNullable(endpoints.get(id)).ifPresent(endpoint -> endpoint.quarantine(until));
  }

  @Override
  public void release(EndpointId id) {
    quarantine(id, Instant.MIN);
  }

  @Override
  public Optional<Endpoint> find(EndpointId id) {
    return Optional.ofNullable(endpoints.get(id));
  }

  @Override
  public List<Endpoint> of(ServiceName service) {
    return index.of(service);
  }

  @Override
  public List<Endpoint> of(ServiceName service, DataCentre dataCentre) {
    return index.of(service, dataCentre);
  }

  @Override
  public List<Endpoint> probesDue(Instant now) {
    return endpoints.values().stream()
        .filter(endpoint -> endpoint.claimProbe(now))
        .map(Endpoint.class::cast)
        .toList();
  }

  private EndpointId update(ListedProcess process, ServiceName service, Instant asOf, Instant now) {
    EndpointId id = new EndpointId(process.id());
    TrackedEndpoint endpoint = endpoints.get(id);
    if (endpoint == null || !endpoint.address().equals(process.address())) {
      endpoint = new TrackedEndpoint(process, service, settings);
      // The endpoints in the first list may have run for long; only those in later lists are new.
      if (listed) {
        endpoint.startSlowly(now);
      }
      endpoints.put(id, endpoint);
    }
    if (process.state() == ListedState.LEAVING) {
      endpoint.leaving(asOf);
    }
    if (endpoint.state(now) == EndpointState.GONE) {
      endpoint.startSlowly(now);
    }
    if (process.state() == ListedState.LIVE) {
      endpoint.listedLive(asOf);
    }
    return id;
  }

  private void markAbsent(Set<EndpointId> present, Instant now) {
    long absent = endpoints.keySet().stream().filter(id -> !present.contains(id)).count();
    // A platform that restarts may return a list that is almost empty; trusting it would take the
    // whole fleet out of service. If most endpoints are missing at once, they count as gone only
    // after a longer time.
    boolean mass = endpoints.size() >= MIN_FOR_MASS_ABSENCE && absent * 2 > endpoints.size();
    Duration grace = mass ? settings.massAbsentGrace() : settings.absentGrace();
    endpoints.forEach(
        (id, endpoint) -> {
          if (!present.contains(id)) {
            endpoint.absent(now, grace);
          }
        });
  }

  private static void apply(TrackedEndpoint endpoint, Observation observation, Instant now) {
    switch (observation) {
      case SUCCESS -> endpoint.succeeded();
      case HEALTHY -> endpoint.healthy(now);
      case FAILURE -> endpoint.failed(now);
      case CRASH, SILENT -> endpoint.suspect(now);
      case LEAVING -> endpoint.leaving(now);
      default -> throw new IllegalArgumentException("unknown observation " + observation);
    }
  }
}
