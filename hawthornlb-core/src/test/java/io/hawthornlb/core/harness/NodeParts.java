package io.hawthornlb.core.harness;

import io.hawthornlb.core.job.JobOrder;
import io.hawthornlb.core.job.JobSettings;
import io.hawthornlb.core.runonce.RunOnceSettings;

/**
 * Parts of a node. A reference implementation, or one with a safeguard removed, can replace a part.
 */
public record NodeParts(
    RunOnceSettings runOnce, JobSettings jobs, JobOrder order, Variant variant) {

  public static NodeParts standard(RunOnceSettings runOnce, JobSettings jobs, JobOrder order) {
    return new NodeParts(runOnce, jobs, order, Variant.STANDARD);
  }

  /** Which safeguard is removed. */
  public enum Variant {
    /** No safeguard is removed. */
    STANDARD,
    /** Run-once requests run without a durable intent. */
    WITHOUT_INTENTS,
    /** Replicas store entries of epochs that a successor has fenced. */
    WITHOUT_FENCE
  }
}
