package io.hawthornlb.core.runonce;

import io.hawthornlb.core.model.Epoch;
import io.hawthornlb.core.model.InstanceId;
import io.hawthornlb.core.partition.PartitionRecord;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/**
 * Log record that names the replicas of an epoch.
 *
 * <p>Every intent of earlier epochs precedes this record in the log, except for the epochs listed
 * as unresolved. A holder runs no request before it has read its own record of this type.
 *
 * @param epoch the epoch of the holder
 * @param holder the holder, which is itself a member of the replica set
 * @param witnesses the other replicas; if empty, intents are durable in the log only
 * @param tolerance the number of members, including the holder, that may fail to respond when an
 *     intent is stored
 * @param unresolved replica sets of earlier epochs of which too few members could be reached
 * @param unknownUntil the time until which a key that is not in the log may have run under an
 *     unresolved epoch
 */
public record ReplicasNamed(
    Epoch epoch,
    InstanceId holder,
    List<InstanceId> witnesses,
    int tolerance,
    List<ReplicaSet> unresolved,
    Optional<Instant> unknownUntil)
    implements PartitionRecord {

  /** Copies the lists. */
  public ReplicasNamed {
    witnesses = List.copyOf(witnesses);
    unresolved = List.copyOf(unresolved);
  }

  /** Returns the replica set of this epoch, including the holder. */
  public ReplicaSet set() {
    if (witnesses.isEmpty()) {
      return new ReplicaSet(epoch, List.of(), 0);
    }
    List<InstanceId> members = new ArrayList<>(witnesses);
    members.add(holder);
    return new ReplicaSet(epoch, members, tolerance);
  }
}
