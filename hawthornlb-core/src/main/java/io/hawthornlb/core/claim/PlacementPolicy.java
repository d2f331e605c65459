package io.hawthornlb.core.claim;

import io.hawthornlb.core.model.InstanceId;
import java.time.Instant;
import java.util.Set;

/** Chooses the instances over which partitions are placed. */
public interface PlacementPolicy {

  /** Returns the instances for the placement, given those in service now. */
  Set<InstanceId> members(Set<InstanceId> live, Instant now);
}
