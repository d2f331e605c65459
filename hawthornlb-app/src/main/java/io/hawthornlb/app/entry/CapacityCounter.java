package io.hawthornlb.app.entry;

import io.hawthornlb.core.catalogue.ServiceEntry;
import io.hawthornlb.core.catalogue.ServiceKind;
import io.hawthornlb.core.endpoint.Endpoint;
import io.hawthornlb.core.endpoint.EndpointTable;
import io.hawthornlb.core.endpoint.LoadReport;
import java.time.Instant;

/** Computes how many requests the endpoints of a service can execute concurrently. */
final class CapacityCounter {

  private static final int UNREPORTED_ENGINE_SLOTS = 16;
  private static final int UNREPORTED_SERVICE_SLOTS = 64;

  private final EndpointTable endpoints;

  CapacityCounter(EndpointTable endpoints) {
    this.endpoints = endpoints;
  }

  /**
   * Returns the total number of slots of the endpoints that accept requests. An endpoint that has
   * not reported its slots counts as 16 for an engine and 64 for a plain service.
   */
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
