package io.hawthornlb.core.endpoint.support;

/** A condition under which an endpoint should get no requests; see {@code endpoint.yaml}. */
enum EndpointCondition {
  /** The endpoint failed recently, and its back-off time has not passed. */
  FAILING,
  /** The list of processes or the endpoint itself reports that it is leaving. */
  WITHDRAWING,
  /** The endpoint has been missing from the list for longer than the list's delay explains. */
  ABSENT
}
