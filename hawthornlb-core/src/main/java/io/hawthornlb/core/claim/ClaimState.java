package io.hawthornlb.core.claim;

import io.hawthornlb.core.model.Epoch;
import io.hawthornlb.core.model.InstanceId;
import io.hawthornlb.core.model.PartitionId;
import java.util.List;
import java.util.Optional;

/**
 * What the log says about one partition that was claimed at least once.
 *
 * @param partition the partition
 * @param epoch the current epoch, which the next claim must supersede
 * @param holder the holder; empty after a release
 * @param witnesses the witnesses that the last claim named
 */
public record ClaimState(
    PartitionId partition, Epoch epoch, Optional<InstanceId> holder, List<InstanceId> witnesses) {

  /** Copies the witnesses. */
  public ClaimState {
    witnesses = List.copyOf(witnesses);
  }

  /** Returns the claim, or empty after a release. */
  public Optional<Claim> claim() {
    return holder.map(instance -> new Claim(partition, epoch, instance, witnesses));
  }
}
