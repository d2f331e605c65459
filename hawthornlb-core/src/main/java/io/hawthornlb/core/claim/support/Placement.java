package io.hawthornlb.core.claim.support;

import io.hawthornlb.core.claim.RendezvousHash;
import io.hawthornlb.core.model.InstanceId;
import io.hawthornlb.core.model.PartitionId;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;

/** Owner of each partition, computed when the members of the placement change. */
final class Placement {

  private final int partitions;
  private Set<InstanceId> members = Set.of();
  private List<InstanceId> owners = List.of();

  Placement(int partitions) {
    this.partitions = partitions;
  }

  /** Distributes all partitions among the members, unless the members are the same as before. */
  void update(Set<InstanceId> newMembers) {
    if (newMembers.equals(members)) {
      return;
    }
    members = Set.copyOf(newMembers);
    List<InstanceId> placed = new ArrayList<>(partitions);
    RendezvousHash hash = new RendezvousHash(members);
    for (int partition = 0; partition < partitions; partition++) {
      hash.owner(partition).ifPresent(placed::add);
    }
    owners = placed;
  }

  /** Returns the owner of a partition; empty if there are no members. */
  Optional<InstanceId> owner(PartitionId partition) {
    return owners.isEmpty() ? Optional.empty() : Optional.of(owners.get(partition.value()));
  }
}
