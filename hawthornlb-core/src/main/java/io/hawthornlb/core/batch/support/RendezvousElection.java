package io.hawthornlb.core.batch.support;

import com.dynatrace.hash4j.hashing.Hashing;
import io.hawthornlb.core.batch.DispatcherElection;
import io.hawthornlb.core.model.EndpointId;
import io.hawthornlb.core.model.InstanceId;
import java.util.Collection;
import java.util.Comparator;
import java.util.Optional;

/**
 * Election by rendezvous hashing: an entry instance that leaves or joins changes the dispatcher
 * only of its own endpoints.
 */
public final class RendezvousElection implements DispatcherElection {

  @Override
  public Optional<InstanceId> dispatcher(EndpointId endpoint, Collection<InstanceId> entries) {
    return entries.stream()
        .max(
            Comparator.comparingLong((InstanceId entry) -> weight(endpoint, entry))
                .thenComparing(Comparator.naturalOrder()));
  }

  private static long weight(EndpointId endpoint, InstanceId entry) {
    return Hashing.komihash5_0()
        .hashStream()
        .putString(endpoint.value())
        .putString(entry.value())
        .getAsLong();
  }
}
