package io.hawthornlb.core.job;

import io.hawthornlb.core.model.JobId;
import java.util.Collection;
import java.util.Optional;

/** Read access to the jobs of a partition, as of the last folded record of its stream. */
public interface JobDirectory {

  /** Returns the state of a job, or empty if it is unknown or its results have expired. */
  Optional<JobStatus> status(JobId job);

  /** Returns the ids of all known jobs. */
  Collection<JobId> jobs();

  /**
   * Returns a page of results.
   *
   * @param job the job
   * @param cursor zero for the first page, then {@link ResultPage#next()}
   * @param maxSpans the largest number of spans
   */
  ResultPage results(JobId job, int cursor, int maxSpans);

  /** Returns the position of an item in the log, or empty if the job or the item is unknown. */
  Optional<ItemLocation> locate(JobId job, int index);
}
