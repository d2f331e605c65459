package io.hawthornlb.core.job;

/** Where a job stands. */
public enum JobPhase {
  /** Items are still to be done. */
  RUNNING,
  /** Every item has ended. */
  ENDED,
  /** The job was cancelled before every item had ended. */
  CANCELLED
}
