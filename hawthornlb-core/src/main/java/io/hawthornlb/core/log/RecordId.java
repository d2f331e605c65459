package io.hawthornlb.core.log;

import io.hawthornlb.core.model.InstanceId;
import io.hawthornlb.core.util.Checks;

/**
 * Identifies one record through every resend of it.
 *
 * <p>An append whose answer was lost is sent again with the same id, and folds drop the second
 * occurrence.
 *
 * @param writer the instance that made the record
 * @param sequence the number of the record among those of its writer, from zero
 */
public record RecordId(InstanceId writer, long sequence) {

  /** Checks the number. */
  public RecordId {
    Checks.notNegative(sequence, "sequence");
  }
}
