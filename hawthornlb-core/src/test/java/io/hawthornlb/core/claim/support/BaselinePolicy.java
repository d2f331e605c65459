package io.hawthornlb.core.claim.support;

import io.hawthornlb.core.claim.PlacementPolicy;
import io.hawthornlb.core.model.InstanceId;
import io.hawthornlb.core.util.Checks;
import java.time.Duration;
import java.time.Instant;
import java.util.Set;
import java.util.TreeSet;
import org.jspecify.annotations.Nullable;

/**
 * Distributes partitions among a baseline of instances that follows the instances in service with a
 * delay.
 *
 * <p>A soft timeout restarts with each change of the instances in service; a hard timeout starts
 * with the first change. When the first of both timeouts ends, the instances that are in service
 * become the new baseline.
 */
public final class BaselinePolicy implements PlacementPolicy {

  /** Treatment of the partitions of a baseline member that is not in service. */
  public enum Absent {
    /** The partitions move to other members until the member is back or the baseline changes. */
    REPLACED,
    /** The partitions stay with the absent member. */
    AWAITED
  }

  private final Duration soft;
  private final Duration hard;
  private final Absent absent;
  private Set<InstanceId> baseline = Set.of();
  private Set<InstanceId> lastLive = Set.of();
  private @Nullable Instant firstChange;
  private Instant lastChange = Instant.MIN;

  /**
   * Creates a policy whose first baseline is the first set of live instances that is passed to
   * {@link #members}.
   */
  public BaselinePolicy(Duration soft, Duration hard, Absent absent) {
    Checks.isTrue(
        hard.compareTo(soft) >= 0, "the hard timeout must not be shorter than the soft timeout");
    this.soft = soft;
    this.hard = hard;
    this.absent = absent;
  }

  @Override
  public Set<InstanceId> members(Set<InstanceId> live, Instant now) {
    if (baseline.isEmpty()) {
      adopt(live);
    }
    noteChange(live, now);
    if (firstChange != null && (!now.isBefore(lastChange.plus(soft)) || hardEnded(now))) {
      adopt(live);
    }
    return absent == Absent.AWAITED ? baseline : present(live);
  }

  private void adopt(Set<InstanceId> live) {
    baseline = Set.copyOf(live);
    lastLive = baseline;
    firstChange = null;
  }

  private void noteChange(Set<InstanceId> live, Instant now) {
    if (live.equals(lastLive)) {
      return;
    }
    lastLive = Set.copyOf(live);
    lastChange = now;
    if (firstChange == null) {
      firstChange = now;
    }
  }

  private boolean hardEnded(Instant now) {
    return firstChange != null && !now.isBefore(firstChange.plus(hard));
  }

  private Set<InstanceId> present(Set<InstanceId> live) {
    Set<InstanceId> members = new TreeSet<>(baseline);
    members.retainAll(live);
    return members.isEmpty() ? live : members;
  }
}
