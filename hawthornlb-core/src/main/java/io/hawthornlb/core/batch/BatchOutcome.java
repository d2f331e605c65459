package io.hawthornlb.core.batch;

/** How one execution of an item ended. */
public enum BatchOutcome {
  /** It has its answer, or a failure that is its answer. */
  DONE,
  /** It was cancelled to free room and may be resumed. */
  PREEMPTED,
  /** Its job was cancelled. */
  CANCELLED,
  /** The endpoint failed; its coordinator decides what follows. */
  ENDPOINT_FAILED
}
