package io.hawthornlb.core.catalogue;

/** Tells whether a request of a service may be executed more than once. */
public enum Repeatability {
  /** Every call may be repeated. */
  IDEMPOTENT,
  /** Calls with a safe HTTP method may be repeated; others run at most once. */
  SAFE_METHODS,
  /** No call may be repeated. */
  NEVER
}
