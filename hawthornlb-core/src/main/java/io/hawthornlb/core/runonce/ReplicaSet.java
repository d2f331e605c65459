package io.hawthornlb.core.runonce;

import io.hawthornlb.core.model.Epoch;
import io.hawthornlb.core.model.InstanceId;
import io.hawthornlb.core.util.Checks;
import java.util.List;

/**
 * The instances that may hold intents of an epoch before the log does.
 *
 * <p>An intent that was executed without standing in the log is held by all of them but for as many
 * as are tolerated; so asking one more than are tolerated meets one that holds it.
 *
 * @param epoch the epoch
 * @param members the holder and the witnesses, or nobody if intents are durable in the log only
 * @param tolerance how many members may be silent when an intent is stored
 */
public record ReplicaSet(Epoch epoch, List<InstanceId> members, int tolerance) {

  /** Checks the tolerance and copies the members. */
  public ReplicaSet {
    Checks.notNegative(tolerance, "tolerance");
    Checks.isTrue(tolerance * 2 <= members.size(), "too many members are tolerated");
    members = List.copyOf(members);
  }
}
