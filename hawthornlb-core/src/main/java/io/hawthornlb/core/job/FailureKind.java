package io.hawthornlb.core.job;

/** Tells whether a failed attempt to run an item may be retried, and whether it counts. */
public enum FailureKind {
  /** The endpoint rejected the item itself; no retry can succeed. */
  PERMANENT,
  /** The attempt failed; a retry may succeed. */
  TRANSIENT,
  /** No endpoint received a byte of the item; the attempt does not count. */
  NOT_RUN
}
