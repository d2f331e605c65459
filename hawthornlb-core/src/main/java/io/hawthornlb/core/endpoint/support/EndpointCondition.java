package io.hawthornlb.core.endpoint.support;

/** What speaks against sending requests to an endpoint; see {@code endpoint.yaml}. */
enum EndpointSign {
  /** It failed lately, and its back-off has not passed. */
  FAILING,
  /** The list or the endpoint itself says that it is leaving. */
  WITHDRAWING,
  /** Lists have not held it for longer than is put down to lag. */
  ABSENT
}
