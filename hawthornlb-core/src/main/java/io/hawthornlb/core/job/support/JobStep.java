package io.hawthornlb.core.job.support;

/** Event that ends a job; see {@code job.yaml}. */
enum JobStep {
  /** Every item has an outcome. */
  LAST_ITEM_ENDED,
  /** The log contains a valid cancellation. */
  CANCELLED
}
