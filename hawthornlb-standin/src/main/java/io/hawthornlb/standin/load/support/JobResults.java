package io.hawthornlb.standin.load.support;

import io.hawthornlb.standin.load.JobFlow;
import io.hawthornlb.standin.report.JobResult;
import java.util.List;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;

/** Collects and aggregates the results of the jobs of a run. */
final class JobResults {

  private static final double MILLIS_PER_SECOND = 1_000;
  private static final long TIMEOUT_SECONDS = 30;

  private JobResults() {}

  /** Returns the result of a job, or a result that names the failure of the load tool. */
  static JobResult await(Future<JobResult> job) {
    try {
      return job.get(TIMEOUT_SECONDS, TimeUnit.SECONDS);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      return toolFailure("the load tool was interrupted");
    } catch (ExecutionException | TimeoutException e) {
      return toolFailure("the load tool failed: " + e);
    }
  }

  /**
   * Returns the ended items of all jobs per second, from the first acceptance to the last end of a
   * job. Jobs that did not end are left out.
   */
  static double itemsPerSecond(List<JobResult> jobs, List<JobFlow> flows) {
    long first = Long.MAX_VALUE;
    long last = 0;
    long items = 0;
    int index = 0;
    for (JobFlow flow : flows) {
      for (int number = 0; number < flow.jobs(); number++) {
        JobResult job = jobs.get(index++);
        long submitted = flow.atMillis() + number * flow.everyMillis();
        if (job.doneMillis() > 0) {
          first = Math.min(first, submitted + job.acceptedMillis());
          last = Math.max(last, submitted + job.doneMillis());
          items += job.completed() + job.failed();
        }
      }
    }
    return last > first ? items * MILLIS_PER_SECOND / (last - first) : 0;
  }

  private static JobResult toolFailure(String fault) {
    return new JobResult("", "", "", 0, 0, 0, 0, 0, 0, 0, List.of(fault));
  }
}
