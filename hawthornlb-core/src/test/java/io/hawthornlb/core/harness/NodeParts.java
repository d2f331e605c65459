package io.hawthornlb.core.harness;

import io.hawthornlb.core.job.JobOrder;
import io.hawthornlb.core.job.JobSettings;
import io.hawthornlb.core.runonce.RunOnceSettings;

/** What a node is made of; a naive or unguarded twin can take the place of a part. */
public record NodeParts(
    RunOnceSettings runOnce, JobSettings jobs, JobOrder order, Variant variant) {

  public static NodeParts standard(RunOnceSettings runOnce, JobSettings jobs, JobOrder order) {
    return new NodeParts(runOnce, jobs, order, Variant.STANDARD);
  }

  /** Which guard is left out. */
  public enum Variant {
    /** None. */
    STANDARD,
    /** Run-once requests run without an intent. */
    WITHOUT_INTENTS,
    /** Witnesses store entries of epochs that a successor has fenced. */
    WITHOUT_FENCE
  }
}
