package io.hawthornlb.core.batch;

import io.hawthornlb.core.model.EndpointId;
import io.hawthornlb.core.model.InstanceId;
import java.util.Collection;
import java.util.Optional;

/**
 * Chooses the single entry instance that dispatches batch items to an endpoint. The result is only
 * a hint; correctness does not depend on it.
 */
public interface DispatcherElection {

  /**
   * Returns the dispatcher of an endpoint, chosen from the reachable entry instances of the
   * endpoint's data centre.
   */
  Optional<InstanceId> dispatcher(EndpointId endpoint, Collection<InstanceId> entries);
}
