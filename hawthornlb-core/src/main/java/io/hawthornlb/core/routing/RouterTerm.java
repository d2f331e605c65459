package io.hawthornlb.core.routing;

/**
 * Term of the cost by which a router chooses an endpoint. Each term can be disabled, so that its
 * effect can be measured.
 */
public enum RouterTerm {
  /** Load reports of the endpoints. */
  LOAD_REPORT,
  /** Requests of this instance and its peers since the load report. */
  IN_FLIGHT,
  /** Prompt prefixes that the endpoint has cached. */
  PREFIX,
  /** Recent failures. */
  FAILURES,
  /** Slow start of new endpoints. */
  SLOW_START,
  /** Distance between data centres. */
  DISTANCE
}
