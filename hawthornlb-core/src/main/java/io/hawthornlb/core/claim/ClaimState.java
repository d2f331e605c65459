package io.hawthornlb.core.claim;

import io.hawthornlb.core.model.Epoch;
import io.hawthornlb.core.model.InstanceId;
import io.hawthornlb.core.model.PartitionId;
import java.util.List;
import java.util.Optional;

/**
 * State, according to the log, of one partition that was claimed at least once.
 *
 * @param partition the partition
 * @param epoch the current epoch, which the next claim must supersede
 * @param holder the current holder; empty after a release
 * @param witnesses the replicas that the last claim names
 */
public record ClaimState(
    PartitionId partition, Epoch epoch, Optional<InstanceId> holder, List<InstanceId> witnesses) {

  /** Copies the replicas. */
  public ClaimState {
    witnesses = List.copyOf(witnesses);
  }

  /** Returns the current claim, or empty after a release. */
  public Optional<Claim> claim() {
    return holder.map(instance -> new Claim(partition, epoch, instance, witnesses));
  }
}
