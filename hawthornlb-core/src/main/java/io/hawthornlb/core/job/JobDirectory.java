package io.hawthornlb.core.job;

import io.hawthornlb.core.model.JobId;
import java.util.Collection;
import java.util.Optional;

/** The jobs of a partition as far as its stream has been folded. */
public interface JobDirectory {

  /** Returns the state of a job, or empty if it is unknown or its results have expired. */
  Optional<JobStatus> status(JobId job);

  /** Returns the jobs that are known. */
  Collection<JobId> jobs();

  /**
   * Returns a page of results.
   *
   * @param job the job
   * @param cursor zero for the first page, then {@link ResultPage#next()}
   * @param maxSpans the largest number of spans
   */
  ResultPage results(JobId job, int cursor, int maxSpans);

  /** Returns where an item stands in the log. */
  Optional<ItemLocation> locate(JobId job, int index);
}
