package io.hawthornlb.gateway.relay;

/** Recipient of a call that a process sends to a peer. */
public enum RelayTarget {
  /** The store, which the calling process cannot reach. */
  STORE,
  /** The peer itself, which holds the jobs of the call. */
  JOBS
}
