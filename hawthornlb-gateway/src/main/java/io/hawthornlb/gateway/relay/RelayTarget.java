package io.hawthornlb.gateway.relay;

/** Who is to answer a call that a peer is asked to make. */
public enum RelayTarget {
  /** The store, which the asking process does not reach. */
  STORE,
  /** The peer itself, which holds the jobs that the call is about. */
  JOBS
}
