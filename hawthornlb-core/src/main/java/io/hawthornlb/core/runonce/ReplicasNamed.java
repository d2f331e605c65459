package io.hawthornlb.core.runonce;

import io.hawthornlb.core.model.Epoch;
import io.hawthornlb.core.model.InstanceId;
import io.hawthornlb.core.partition.PartitionRecord;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/**
 * Says that every intent of earlier epochs stands before this record, but for those that are named
 * as unresolved, and names the witnesses of this epoch.
 *
 * <p>A holder runs nothing before it has seen its own record of this type.
 *
 * @param epoch the epoch of the holder
 * @param holder the holder, which is a witness itself
 * @param witnesses the other witnesses; with none, intents are durable in the log only
 * @param tolerance how many of them, the holder included, may be silent when an intent is stored
 * @param unresolved earlier epochs of which too few witnesses could be asked
 * @param unknownUntil until when a key that is not known may have run under one of them
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

  /** Returns the witnesses of this epoch, the holder among them. */
  public ReplicaSet set() {
    if (witnesses.isEmpty()) {
      return new ReplicaSet(epoch, List.of(), 0);
    }
    List<InstanceId> members = new ArrayList<>(witnesses);
    members.add(holder);
    return new ReplicaSet(epoch, members, tolerance);
  }
}
