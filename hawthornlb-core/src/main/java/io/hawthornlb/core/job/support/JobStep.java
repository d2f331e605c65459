package io.hawthornlb.core.job.support;

/** What ends a job; see {@code job.yaml}. */
enum JobStep {
  /** Every item has ended. */
  LAST_ITEM_ENDED,
  /** A cancellation stands in the log. */
  CANCELLED
}
