package io.hawthornlb.core.batch;

import io.hawthornlb.core.model.JobId;
import io.hawthornlb.core.util.Checks;

/**
 * Names one item of a batch job.
 *
 * @param job the job
 * @param index its place in the job, from 0
 */
public record ItemRef(JobId job, int index) {

  /** Checks that the index is not negative. */
  public ItemRef {
    Checks.notNegative(index, "index");
  }
}
