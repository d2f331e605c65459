package io.hawthornlb.core.claim.support;

import io.hawthornlb.core.claim.RendezvousHash;
import io.hawthornlb.core.model.DataCentre;
import io.hawthornlb.core.model.InstanceId;
import io.hawthornlb.core.model.PartitionId;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;

/** Selects the replicas of a claim. */
final class ReplicaSelector {

  /** Number of replicas of a claim, if there are enough instances. */
  static final int REPLICAS = 2;

  private final Heartbeats heartbeats;
  private Set<InstanceId> rankedFor = Set.of();
  private RendezvousHash hash = new RendezvousHash(Set.of());

  ReplicaSelector(Heartbeats heartbeats) {
    this.heartbeats = heartbeats;
  }

  /**
   * Returns two live instances other than the holder. The holder and both instances run in three
   * different data centres.
   *
   * <p>If there are too few data centres, data centres are used more than once. If there are too
   * few instances, fewer than two are returned.
   */
  List<InstanceId> select(PartitionId partition, InstanceId holder, Set<InstanceId> live) {
    List<InstanceId> candidates = ranked(partition, live);
    candidates.remove(holder);
    Set<DataCentre> taken = new HashSet<>();
    heartbeats.dataCentre(holder).ifPresent(taken::add);
    List<InstanceId> replicas = new ArrayList<>();
    for (InstanceId candidate : candidates) {
      Optional<DataCentre> dataCentre = heartbeats.dataCentre(candidate);
      if (replicas.size() < REPLICAS && dataCentre.isPresent() && taken.add(dataCentre.get())) {
        replicas.add(candidate);
      }
    }
    candidates.removeAll(replicas);
    while (replicas.size() < REPLICAS && !candidates.isEmpty()) {
      replicas.add(candidates.remove(0));
    }
    return replicas;
  }

  private List<InstanceId> ranked(PartitionId partition, Set<InstanceId> live) {
    if (!live.equals(rankedFor)) {
      rankedFor = Set.copyOf(live);
      hash = new RendezvousHash(live);
    }
    return new ArrayList<>(hash.ranked(partition.value()));
  }
}
