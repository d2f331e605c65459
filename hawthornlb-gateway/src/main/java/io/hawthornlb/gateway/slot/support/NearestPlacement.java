package io.hawthornlb.gateway.slot.support;

import io.hawthornlb.gateway.endpoint.EndpointRecord;
import java.util.Comparator;
import java.util.function.ToIntFunction;

/**
 * Prefers endpoints in the data centre of the gateway, and the least used among those.
 *
 * <p>Failure: a data centre is cut off. It shows as streams that end in the middle, all those that
 * cross its border, and few of them can be resumed. Guard: a stream crosses a border only while no
 * slot is free on its side, nor held by an item.
 */
final class NearestPlacement implements Placement {

  private final Placement among = new LeastUsedPlacement();

  @Override
  public Comparator<EndpointRecord> order(String dataCentre, ToIntFunction<EndpointRecord> inUse) {
    return Comparator.comparing(
            (EndpointRecord endpoint) -> !endpoint.dataCentre().equals(dataCentre))
        .thenComparing(among.order(dataCentre, inUse));
  }

  @Override
  public boolean prefers(EndpointRecord endpoint, String dataCentre) {
    return endpoint.dataCentre().equals(dataCentre);
  }
}
