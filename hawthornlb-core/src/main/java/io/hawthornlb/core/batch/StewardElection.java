package io.hawthornlb.core.batch;

import io.hawthornlb.core.model.EndpointId;
import io.hawthornlb.core.model.InstanceId;
import java.util.Collection;
import java.util.Optional;

/** Names the one entry that sends batch items to an endpoint; a hint, no safety rests on it. */
public interface StewardElection {

  /** Returns the steward among the reachable entries of the endpoint's data centre. */
  Optional<InstanceId> steward(EndpointId endpoint, Collection<InstanceId> entries);
}
