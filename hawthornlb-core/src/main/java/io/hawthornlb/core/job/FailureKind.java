package io.hawthornlb.core.job;

/** What a failed attempt says about further ones. */
public enum FailureKind {
  /** The endpoint rejects the item as such; no other attempt can succeed. */
  PERMANENT,
  /** The attempt failed, and another one may succeed. */
  TRANSIENT,
  /** No endpoint had a byte of it; the attempt does not count. */
  NOT_RUN
}
