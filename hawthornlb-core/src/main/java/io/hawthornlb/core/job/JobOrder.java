package io.hawthornlb.core.job;

import java.time.Instant;
import java.util.List;

/** Chooses the job whose item is dispatched next. */
public interface JobOrder {

  /**
   * Returns the chosen candidate.
   *
   * @param candidates the jobs with an item that is ready to be dispatched; at least one
   * @param now the current time
   */
  JobCandidate next(List<JobCandidate> candidates, Instant now);
}
