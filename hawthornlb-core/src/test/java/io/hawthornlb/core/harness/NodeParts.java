package io.hawthornlb.core.harness;

import io.hawthornlb.core.job.JobOrder;
import io.hawthornlb.core.job.JobSettings;
import io.hawthornlb.core.runonce.RunOnceSettings;

/** What a node is made of; the naive twin of the run-once coordinator can take its place. */
public record NodeParts(
    RunOnceSettings runOnce, JobSettings jobs, JobOrder order, boolean naiveRunOnce) {

  public static NodeParts standard(RunOnceSettings runOnce, JobSettings jobs, JobOrder order) {
    return new NodeParts(runOnce, jobs, order, false);
  }
}
