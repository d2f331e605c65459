package io.hawthornlb.core.runonce;

import io.hawthornlb.core.model.Epoch;
import io.hawthornlb.core.model.InstanceId;
import java.util.List;

/**
 * The instances that may hold intents of an epoch before the log does.
 *
 * <p>Each of them holds every intent that was executed without standing in the log, so that asking
 * one of them is enough.
 *
 * @param epoch the epoch
 * @param members the holder and the witnesses, or nobody if intents are durable in the log only
 */
public record WitnessSet(Epoch epoch, List<InstanceId> members) {

  /** Copies the members. */
  public WitnessSet {
    members = List.copyOf(members);
  }
}
