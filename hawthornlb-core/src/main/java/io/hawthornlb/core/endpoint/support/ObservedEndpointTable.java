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
 * Table that weighs the list against what requests and probes observe.
 *
 * <p>Signs of leaving and failure count at once; signs of life count only when they last.
 */
public final class ObservedEndpointTable implements EndpointTable {

  private static final int FEWEST_FOR_MASS_ABSENCE = 4;

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
        present.add(take(process, process.service().get(), asOf, now));
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
    // Each entry would have to run into the same fault before it knew of it. Peers therefore hear
    // of each change to the worse; changes to the better each entry finds by its own probe.
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
        .filter(endpoint -> endpoint.takeProbe(now))
        .map(Endpoint.class::cast)
        .toList();
  }

  private EndpointId take(ListedProcess process, ServiceName service, Instant asOf, Instant now) {
    EndpointId id = new EndpointId(process.id());
    TrackedEndpoint endpoint = endpoints.get(id);
    if (endpoint == null || !endpoint.address().equals(process.address())) {
      endpoint = new TrackedEndpoint(process, service, settings);
      // The first list holds endpoints that have run for long; only later ones are new.
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
    // A platform that restarts may answer with a list that is almost empty; believing it would
    // take the whole fleet out of service. Most endpoints gone at once is believed only later.
    boolean mass = endpoints.size() >= FEWEST_FOR_MASS_ABSENCE && absent * 2 > endpoints.size();
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
