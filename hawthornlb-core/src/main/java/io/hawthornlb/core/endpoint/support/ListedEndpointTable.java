package io.hawthornlb.core.endpoint.support;

import io.hawthornlb.core.effect.Effect;
import io.hawthornlb.core.endpoint.Endpoint;
import io.hawthornlb.core.endpoint.EndpointNotice;
import io.hawthornlb.core.endpoint.EndpointTable;
import io.hawthornlb.core.endpoint.LoadReport;
import io.hawthornlb.core.endpoint.Observation;
import io.hawthornlb.core.membership.ListedKind;
import io.hawthornlb.core.membership.ListedProcess;
import io.hawthornlb.core.model.DataCentre;
import io.hawthornlb.core.model.EndpointId;
import io.hawthornlb.core.model.ServiceName;
import java.time.Instant;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * Simple table that relies on the list of processes alone.
 *
 * <p>It is the reference implementation in differential tests and the baseline of measurements.
 */
public final class ListedEndpointTable implements EndpointTable {

  private final Map<EndpointId, ListedEndpoint> endpoints = new HashMap<>();
  private final EndpointIndex index = new EndpointIndex();

  @Override
  public void onList(List<ListedProcess> listed, Instant asOf, Instant now) {
    Map<EndpointId, ListedEndpoint> before = Map.copyOf(endpoints);
    endpoints.clear();
    for (ListedProcess process : listed) {
      if (process.kind() == ListedKind.ENDPOINT && process.service().isPresent()) {
        ListedEndpoint endpoint = new ListedEndpoint(process, process.service().get());
        Optional.ofNullable(before.get(endpoint.id()))
            .flatMap(ListedEndpoint::load)
            .ifPresent(endpoint::updateLoad);
        endpoints.put(endpoint.id(), endpoint);
      }
    }
    index.rebuild(endpoints.values());
  }

  @Override
  public void onLoad(EndpointId id, LoadReport report, Instant now) {
    Optional.ofNullable(endpoints.get(id)).ifPresent(endpoint -> endpoint.updateLoad(report));
  }

  @Override
  public List<Effect> onObservation(EndpointId id, Observation observation, Instant now) {
    return List.of();
  }

  @Override
  public void onNotice(EndpointNotice notice, Instant now) {}

  @Override
  public void quarantine(EndpointId id, Instant until) {}

  @Override
  public void release(EndpointId id) {}

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
    return List.of();
  }
}
