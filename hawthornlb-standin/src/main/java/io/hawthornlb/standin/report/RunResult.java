package io.hawthornlb.standin.report;

import java.util.List;
import org.jspecify.annotations.Nullable;

/**
 * All that a run measured.
 *
 * @param name the scenario
 * @param seed its seed
 * @param startedAt when it started
 * @param seconds how long it took
 * @param flows the flows of requests
 * @param classes total times by class
 * @param workspaces total times by workspace
 * @param jobs the batch jobs
 * @param batchItemsPerSecond items of all jobs a second, from the first acceptance to the last end
 * @param calls keyed calls compared with the services
 * @param endpointsLost endpoints that answered no more at the end
 * @param timeline what ended in each second
 * @param broken promises that did not hold
 * @param withoutJobs the same online load without the jobs, if it was run
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

  /** Returns whether all promises held, in the run without jobs too. */
  public boolean ok() {
    return broken.isEmpty() && (withoutJobs == null || withoutJobs.ok());
  }

  /** Returns this result beside the one of the run without jobs. */
  public RunResult beside(RunResult baseline) {
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
