package io.hawthornlb.core.membership;

/** What a listed process is. */
public enum ListedKind {
  /** An entry instance. */
  ENTRY,
  /** An endpoint that serves requests. */
  ENDPOINT
}
