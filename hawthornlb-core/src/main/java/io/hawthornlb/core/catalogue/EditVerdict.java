package io.hawthornlb.core.catalogue;

/** Verdict on an edit. */
public enum EditVerdict {
  /** The edit made a new revision. */
  ACCEPTED,
  /** Another edit of the same base revision came first; nothing changed. */
  LOST,
  /** The checks found faults; nothing changed. */
  INVALID
}
