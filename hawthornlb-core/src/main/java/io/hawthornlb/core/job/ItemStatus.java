package io.hawthornlb.core.job;

/** How an item ended. */
public enum ItemStatus {
  /** The endpoint gave its result. */
  COMPLETED,
  /** The item can't be done; the cause says why. */
  FAILED
}
