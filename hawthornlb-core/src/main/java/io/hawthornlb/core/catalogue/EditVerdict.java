package io.hawthornlb.core.catalogue;

/** What became of an edit. */
public enum EditVerdict {
  /** It made a new revision. */
  ACCEPTED,
  /** Another edit of the same base came first; nothing changed. */
  LOST,
  /** The checks found faults; nothing changed. */
  INVALID
}
