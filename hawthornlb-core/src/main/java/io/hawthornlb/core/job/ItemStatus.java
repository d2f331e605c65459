package io.hawthornlb.core.job;

/** Tells whether an item completed or failed. */
public enum ItemStatus {
  /** The endpoint returned a result for the item. */
  COMPLETED,
  /** The item has no result and is not retried; the cause of the outcome says why. */
  FAILED
}
