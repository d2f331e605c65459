package io.hawthornlb.core.runonce;

import io.hawthornlb.core.model.Epoch;
import io.hawthornlb.core.model.InstanceId;
import io.hawthornlb.core.partition.PartitionRecord;
import java.time.Instant;
import java.util.List;
import java.util.Optional;

/**
 * Says that every intent of earlier epochs stands before this record, and names the instances that
 * may hold intents of this epoch before the log does.
 *
 * <p>A holder runs nothing before it has seen its own record of this type.
 *
 * @param epoch the epoch of the holder
 * @param holder the holder, which is a witness itself
 * @param witnesses the other witnesses; with none, intents are durable in the log only
 * @param unknownUntil until when a key that is not known may have run, because no witness of an
 *     earlier epoch could be asked
 */
public record WitnessesNamed(
    Epoch epoch, InstanceId holder, List<InstanceId> witnesses, Optional<Instant> unknownUntil)
    implements PartitionRecord {

  /** Copies the witnesses. */
  public WitnessesNamed {
    witnesses = List.copyOf(witnesses);
  }
}
