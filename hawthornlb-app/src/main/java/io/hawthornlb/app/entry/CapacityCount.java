package io.hawthornlb.app.entry;

import io.hawthornlb.core.catalogue.ServiceEntry;
import io.hawthornlb.core.catalogue.ServiceKind;
import io.hawthornlb.core.endpoint.Endpoint;
import io.hawthornlb.core.endpoint.EndpointTable;
import io.hawthornlb.core.endpoint.LoadReport;
import java.time.Instant;

/** Counts how many requests the endpoints of a service can execute at once. */
final class CapacityCount {

  private static final int UNREPORTED_ENGINE_SLOTS = 16;
  private static final int UNREPORTED_SERVICE_SLOTS = 64;

  private final EndpointTable endpoints;

  CapacityCount(EndpointTable endpoints) {
    this.endpoints = endpoints;
  }

  /** Returns the slots of all endpoints that take requests. */
  int slots(ServiceEntry service, Instant now) {
    int unreported =
        service.kind() == ServiceKind.ENGINE ? UNREPORTED_ENGINE_SLOTS : UNREPORTED_SERVICE_SLOTS;
    return endpoints.of(service.name()).stream()
        .filter(endpoint -> endpoint.accepts(now))
        .mapToInt(endpoint -> slots(endpoint, unreported))
        .sum();
  }

  private static int slots(Endpoint endpoint, int unreported) {
    return endpoint.load().map(LoadReport::slots).orElse(unreported);
  }
}
