package io.hawthornlb.core.endpoint;

/** State of an endpoint as this instance sees it. */
public enum EndpointState {
  /** Takes new requests. */
  LIVE,
  /** Failed lately; takes none until its back-off has passed. */
  SUSPECT,
  /** Finishes what it has and takes nothing new. */
  LEAVING,
  /** No longer listed. */
  GONE
}
