package io.hawthornlb.core.log;

import io.hawthornlb.core.model.InstanceId;
import io.hawthornlb.core.util.Checks;

/**
 * Identifies one record across all its resends.
 *
 * <p>An append whose answer was lost is resent with the same id, and folds drop the second
 * occurrence.
 *
 * @param writer the instance that created the record
 * @param sequence the number of the record among all records of its writer, from zero
 */
public record RecordId(InstanceId writer, long sequence) {

  /** Checks the sequence number. */
  public RecordId {
    Checks.notNegative(sequence, "sequence");
  }
}
