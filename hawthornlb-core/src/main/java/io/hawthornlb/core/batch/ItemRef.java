package io.hawthornlb.core.batch;

import io.hawthornlb.core.model.JobId;
import io.hawthornlb.core.util.Checks;

/**
 * Identifies one item of a batch job.
 *
 * @param job id of the job
 * @param index position of the item in the job, from 0
 */
public record ItemRef(JobId job, int index) {

  /** Checks that the index is not negative. */
  public ItemRef {
    Checks.notNegative(index, "index");
  }
}
