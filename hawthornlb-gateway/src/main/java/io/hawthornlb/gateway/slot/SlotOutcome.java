package io.hawthornlb.gateway.slot;

/** How the use of a slot ended. */
public enum SlotOutcome {
  /** The endpoint answered. */
  ANSWERED,
  /** The endpoint answered with an error of its own; the request has run. */
  ERROR,
  /** The caller left, or the item gave way. */
  ABANDONED,
  /** The endpoint was full. */
  SHED,
  /** Another endpoint has the address now. */
  REPLACED,
  /** No connection to the endpoint could be opened; it has not seen the request. */
  UNREACHED,
  /** The endpoint broke off or stayed silent; it may have run the request. */
  FAILED
}
