package io.hawthornlb.gateway.route;

/** Kind of a route, which determines whether requests may be repeated. */
public enum RouteKind {
  /** A request may run more than once. */
  IDEMPOTENT,
  /** A request may run at most once. */
  ONCE,
  /** The response is a stream of events. */
  STREAM,
  /** Requests submit, read and cancel jobs. */
  JOB
}
