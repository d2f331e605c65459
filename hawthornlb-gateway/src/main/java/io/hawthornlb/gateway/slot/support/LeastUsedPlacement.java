package io.hawthornlb.gateway.slot.support;

import io.hawthornlb.gateway.endpoint.EndpointRecord;
import java.util.Comparator;
import java.util.function.ToIntFunction;

/**
 * Prefers the endpoint with the smallest share of its slots in use; among equal shares, endpoints
 * in the data centre of the gateway come first.
 */
final class LeastUsedPlacement implements Placement {

  @Override
  public Comparator<EndpointRecord> order(String dataCentre, ToIntFunction<EndpointRecord> inUse) {
    return Comparator.comparingDouble(
            (EndpointRecord endpoint) -> (double) inUse.applyAsInt(endpoint) / endpoint.slots())
        .thenComparing(endpoint -> !endpoint.dataCentre().equals(dataCentre))
        .thenComparing(EndpointRecord::id);
  }

  @Override
  public boolean prefers(EndpointRecord endpoint, String dataCentre) {
    return true;
  }
}
