package io.hawthornlb.gateway.slot.support;

import io.hawthornlb.gateway.endpoint.EndpointRecord;
import java.time.Instant;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.function.ToIntFunction;

/**
 * Prefers the endpoint with the smallest share of its slots in use; among equal shares, endpoints
 * in the data centre of the gateway come first.
 */
final class LeastUsedPlacement implements Placement {

  @Override
  public Optional<EndpointRecord> choose(
      List<EndpointRecord> free,
      String dataCentre,
      ToIntFunction<EndpointRecord> inUse,
      Instant now) {
    return free.stream().min(order(dataCentre, inUse));
  }

  @Override
  public boolean prefers(EndpointRecord endpoint, String dataCentre, Instant now) {
    return true;
  }

  /** Returns the order of endpoints for requests from a data centre. */
  static Comparator<EndpointRecord> order(String dataCentre, ToIntFunction<EndpointRecord> inUse) {
    return Comparator.comparingDouble(
            (EndpointRecord endpoint) -> (double) inUse.applyAsInt(endpoint) / endpoint.slots())
        .thenComparing(endpoint -> !endpoint.dataCentre().equals(dataCentre))
        .thenComparing(EndpointRecord::id);
  }
}
