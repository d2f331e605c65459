package io.hawthornlb.core.claim.support;

import io.hawthornlb.core.claim.PlacementPolicy;
import io.hawthornlb.core.model.InstanceId;
import java.time.Instant;
import java.util.Set;

/**
 * Distributes partitions among the instances in service, and follows each change of these instances
 * immediately.
 */
public final class ImmediatePlacementPolicy implements PlacementPolicy {

  @Override
  public Set<InstanceId> members(Set<InstanceId> live, Instant now) {
    return live;
  }
}
