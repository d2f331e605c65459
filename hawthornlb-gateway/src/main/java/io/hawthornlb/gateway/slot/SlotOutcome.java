package io.hawthornlb.gateway.slot;

/** How the use of a slot ended. */
public enum SlotOutcome {
  /** The endpoint answered. */
  ANSWERED,
  /** The caller left, or the item gave way. */
  ABANDONED,
  /** The endpoint was full. */
  SHED,
  /** Another endpoint has the address now. */
  REPLACED,
  /** The endpoint could not be reached, broke off or stayed silent. */
  FAILED
}
