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

/** Picks the witnesses of a claim. */
final class WitnessSelector {

  /** Witnesses of a claim, where there are enough instances. */
  static final int WITNESSES = 2;

  private final LifeSigns lifeSigns;
  private Set<InstanceId> rankedFor = Set.of();
  private RendezvousHash hash = new RendezvousHash(Set.of());

  WitnessSelector(LifeSigns lifeSigns) {
    this.lifeSigns = lifeSigns;
  }

  /**
   * Returns two live instances other than the holder, in data centres of their own.
   *
   * <p>Where there are too few data centres it takes what there is.
   */
  List<InstanceId> select(PartitionId partition, InstanceId holder, Set<InstanceId> live) {
    List<InstanceId> candidates = ranked(partition, live);
    candidates.remove(holder);
    Set<DataCentre> taken = new HashSet<>();
    lifeSigns.dataCentre(holder).ifPresent(taken::add);
    List<InstanceId> witnesses = new ArrayList<>();
    for (InstanceId candidate : candidates) {
      Optional<DataCentre> dataCentre = lifeSigns.dataCentre(candidate);
      if (witnesses.size() < WITNESSES && dataCentre.isPresent() && taken.add(dataCentre.get())) {
        witnesses.add(candidate);
      }
    }
    candidates.removeAll(witnesses);
    while (witnesses.size() < WITNESSES && !candidates.isEmpty()) {
      witnesses.add(candidates.remove(0));
    }
    return witnesses;
  }

  private List<InstanceId> ranked(PartitionId partition, Set<InstanceId> live) {
    if (!live.equals(rankedFor)) {
      rankedFor = Set.copyOf(live);
      hash = new RendezvousHash(live);
    }
    return new ArrayList<>(hash.ranked(partition.value()));
  }
}
