package io.hawthornlb.core.partition;

import io.hawthornlb.core.log.RecordBody;
import io.hawthornlb.core.model.Epoch;

/**
 * A record that only the holder of a partition may write.
 *
 * <p>The record is void unless its epoch is the epoch of the last valid {@link PartitionOpened}
 * before it.
 */
public interface PartitionRecord extends RecordBody {

  /** Returns the epoch of the claim under which the record was written. */
  Epoch epoch();
}
