package io.hawthornlb.core.job;

import io.hawthornlb.core.model.JobId;
import java.util.List;

/**
 * Outcomes of one job in an {@link ItemOutcomes} record.
 *
 * @param job the job
 * @param outcomes the outcomes of items that ended
 * @param attempts the attempt counts of items that failed and will be retried
 */
public record JobOutcomeGroup(JobId job, List<ItemOutcome> outcomes, List<ItemAttempts> attempts) {

  /** Copies the lists. */
  public JobOutcomeGroup {
    outcomes = List.copyOf(outcomes);
    attempts = List.copyOf(attempts);
  }
}
