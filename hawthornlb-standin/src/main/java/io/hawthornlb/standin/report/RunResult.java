package io.hawthornlb.standin.report;

import java.util.List;
import org.jspecify.annotations.Nullable;

/**
 * All measurements of a run.
 *
 * @param name the name of the scenario
 * @param seed the seed of the scenario
 * @param startedAt the start time of the run
 * @param seconds the duration of the run
 * @param flows the results of the request flows
 * @param classes the total response times by request class
 * @param workspaces the total response times by workspace
 * @param jobs the results of the batch jobs
 * @param batchItemsPerSecond the items of all jobs per second, from the first acceptance of a job
 *     to the last end of a job
 * @param calls the comparison of calls with idempotency keys with the run counts of the services
 * @param endpointsLost the addresses of the endpoints that did not answer at the end of the run
 * @param timeline the answered requests and ended batch items in each second
 * @param broken the descriptions of the failed checks
 * @param withoutJobs the result of the same online load without the jobs; null if the scenario
 *     doesn't ask for this comparison
 */
public record RunResult(
    String name,
    long seed,
    String startedAt,
    double seconds,
    List<FlowResult> flows,
    List<NamedPercentiles> classes,
    List<NamedPercentiles> workspaces,
    List<JobResult> jobs,
    double batchItemsPerSecond,
    CallComparison calls,
    List<String> endpointsLost,
    List<Series> timeline,
    List<String> broken,
    @Nullable RunResult withoutJobs) {

  /** Returns whether all checks passed, including those of the run without jobs if there is one. */
  public boolean ok() {
    return broken.isEmpty() && (withoutJobs == null || withoutJobs.ok());
  }

  /** Returns this result with the given result of the run without jobs added. */
  public RunResult withBaseline(RunResult baseline) {
    return new RunResult(
        name,
        seed,
        startedAt,
        seconds,
        flows,
        classes,
        workspaces,
        jobs,
        batchItemsPerSecond,
        calls,
        endpointsLost,
        timeline,
        broken,
        baseline);
  }
}
