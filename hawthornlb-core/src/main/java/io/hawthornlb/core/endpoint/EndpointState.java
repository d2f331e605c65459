package io.hawthornlb.core.endpoint;

/** State of an endpoint as this instance sees it. */
public enum EndpointState {
  /** The endpoint accepts new requests. */
  LIVE,
  /** The endpoint failed recently and gets no requests until its back-off time has passed. */
  SUSPECT,
  /** The endpoint finishes its running requests and accepts no new ones. */
  LEAVING,
  /** The list of processes no longer contains the endpoint. */
  GONE
}
