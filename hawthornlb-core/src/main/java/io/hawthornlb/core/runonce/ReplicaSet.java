package io.hawthornlb.core.runonce;

import io.hawthornlb.core.model.Epoch;
import io.hawthornlb.core.model.InstanceId;
import io.hawthornlb.core.util.Checks;
import java.util.List;

/**
 * The instances that may keep intents of an epoch before the log contains them.
 *
 * <p>When an intent was executed without being in the log, all members but at most {@code
 * tolerance} of them keep it. Therefore any {@code tolerance + 1} members include one that keeps
 * it.
 *
 * @param epoch the epoch
 * @param members the holder and its replicas, or empty if intents are durable in the log only
 * @param tolerance the number of members that may fail to respond when an intent is stored
 */
public record ReplicaSet(Epoch epoch, List<InstanceId> members, int tolerance) {

  /** Checks the tolerance and copies the members. */
  public ReplicaSet {
    Checks.notNegative(tolerance, "tolerance");
    Checks.isTrue(
        tolerance * 2 <= members.size(), "tolerance must be at most half the number of members");
    members = List.copyOf(members);
  }
}
