package io.hawthornlb.core.claim;

import io.hawthornlb.core.model.InstanceId;
import java.time.Instant;
import java.util.Set;

/** Chooses the instances among which partitions are distributed. */
public interface PlacementPolicy {

  /**
   * Returns the instances among which partitions are distributed.
   *
   * @param live the instances that are in service now
   * @param now the current time
   */
  Set<InstanceId> members(Set<InstanceId> live, Instant now);
}
