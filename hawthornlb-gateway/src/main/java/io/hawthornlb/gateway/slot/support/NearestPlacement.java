package io.hawthornlb.gateway.slot.support;

import io.hawthornlb.gateway.endpoint.EndpointRecord;
import java.time.Instant;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.function.ToIntFunction;

/**
 * Prefers endpoints in the data centre of the gateway, and the least used of those.
 *
 * <p>When a data centre is cut off, every stream that crosses its border breaks, and few of these
 * streams can be resumed. So a stream goes to another data centre only if no slot in its own is
 * free or held by a batch item.
 */
final class NearestPlacement implements Placement {

  @Override
  public Optional<EndpointRecord> choose(
      List<EndpointRecord> free,
      String dataCentre,
      ToIntFunction<EndpointRecord> inUse,
      Instant now) {
    return free.stream()
        .min(
            Comparator.comparing(
                    (EndpointRecord endpoint) -> !endpoint.dataCentre().equals(dataCentre))
                .thenComparing(LeastUsedPlacement.order(dataCentre, inUse)));
  }

  @Override
  public boolean prefers(EndpointRecord endpoint, String dataCentre, Instant now) {
    return endpoint.dataCentre().equals(dataCentre);
  }
}
