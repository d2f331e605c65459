package io.hawthornlb.core.batch;

/** Outcome of one execution of an item. */
public enum BatchOutcome {
  /** The item has its answer, or a failure that counts as its answer. */
  DONE,
  /** The execution was cancelled to free a slot, and the item may be resumed. */
  PREEMPTED,
  /** The job of the item was cancelled. */
  CANCELLED,
  /** The endpoint failed; the coordinator of the item decides what happens next. */
  ENDPOINT_FAILED
}
