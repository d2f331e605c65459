package io.hawthornlb.core.routing;

/** A term of the cost by which a router chooses; each can be taken out to measure its worth. */
public enum RouterTerm {
  /** Load reports of the endpoints. */
  LOAD_REPORT,
  /** Own and peers' requests since the report. */
  IN_FLIGHT,
  /** Cached prefixes. */
  PREFIX,
  /** Recent failures. */
  FAILURES,
  /** Slow start of new endpoints. */
  SLOW_START,
  /** Distance between data centres. */
  DISTANCE
}
