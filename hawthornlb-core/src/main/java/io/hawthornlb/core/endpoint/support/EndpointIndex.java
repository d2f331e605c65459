package io.hawthornlb.core.endpoint.support;

import io.hawthornlb.core.endpoint.Endpoint;
import io.hawthornlb.core.model.DataCentre;
import io.hawthornlb.core.model.ServiceName;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** Lists of endpoints by service and data centre, rebuilt when the set of endpoints changes. */
final class EndpointIndex {

  private record LocalService(ServiceName service, DataCentre dataCentre) {}

  private final Map<ServiceName, List<Endpoint>> byService = new HashMap<>();
  private final Map<LocalService, List<Endpoint>> byLocalService = new HashMap<>();

  /** Replaces the content of the index. */
  void rebuild(Collection<? extends Endpoint> endpoints) {
    byService.clear();
    byLocalService.clear();
    List<Endpoint> sorted = new ArrayList<>(endpoints);
    sorted.sort(Comparator.comparing(Endpoint::id));
    for (Endpoint endpoint : sorted) {
      LocalService localService = new LocalService(endpoint.service(), endpoint.dataCentre());
      byService.computeIfAbsent(endpoint.service(), key -> new ArrayList<>()).add(endpoint);
      byLocalService.computeIfAbsent(localService, key -> new ArrayList<>()).add(endpoint);
    }
    byService.replaceAll((key, list) -> List.copyOf(list));
    byLocalService.replaceAll((key, list) -> List.copyOf(list));
  }

  /** Returns the endpoints of a service. */
  List<Endpoint> of(ServiceName service) {
    return byService.getOrDefault(service, List.of());
  }

  /** Returns the endpoints of a service in a data centre. */
  List<Endpoint> of(ServiceName service, DataCentre dataCentre) {
    return byLocalService.getOrDefault(new LocalService(service, dataCentre), List.of());
  }
}
