package io.hawthornlb.core.job;

import java.time.Instant;
import java.util.List;

/** Chooses the job that gives out the next item. */
public interface JobOrder {

  /**
   * Returns one of the candidates.
   *
   * @param candidates jobs with an item to give out; at least one
   * @param now the current time
   */
  JobCandidate next(List<JobCandidate> candidates, Instant now);
}
