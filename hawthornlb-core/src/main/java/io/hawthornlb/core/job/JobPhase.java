package io.hawthornlb.core.job;

/** Phase of a job. */
public enum JobPhase {
  /** At least one item has no outcome yet. */
  RUNNING,
  /** Every item has an outcome. */
  ENDED,
  /** The job was cancelled before every item had an outcome. */
  CANCELLED
}
