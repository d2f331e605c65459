package io.hawthornlb.core.job;

import io.hawthornlb.core.model.JobId;
import java.util.List;

/**
 * Outcomes of one job in a group.
 *
 * @param job the job
 * @param outcomes items that ended
 * @param attempts items that failed and are tried again
 */
public record JobOutcomeGroup(JobId job, List<ItemOutcome> outcomes, List<ItemAttempts> attempts) {

  /** Copies the lists. */
  public JobOutcomeGroup {
    outcomes = List.copyOf(outcomes);
    attempts = List.copyOf(attempts);
  }
}
