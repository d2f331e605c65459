package io.hawthornlb.gateway.slot;

/** Tells how the use of a slot ended. */
public enum SlotOutcome {
  /** The endpoint answered. */
  ANSWERED,
  /** The endpoint answered with an error of its own; it has run the request. */
  ERROR,
  /** The caller disconnected, or the batch item was preempted. */
  ABANDONED,
  /** The endpoint shed the request because it was full. */
  SHED,
  /** Another endpoint now has the address. */
  REPLACED,
  /** No connection to the endpoint could be opened, so the endpoint has not seen the request. */
  UNREACHED,
  /** The endpoint broke the connection or stayed silent; it may have run the request. */
  FAILED
}
