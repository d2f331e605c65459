package io.hawthornlb.core.membership;

/** Kind of a process in the instance list. */
public enum ListedKind {
  /** An entry instance. */
  ENTRY,
  /** An endpoint, which serves requests. */
  ENDPOINT
}
