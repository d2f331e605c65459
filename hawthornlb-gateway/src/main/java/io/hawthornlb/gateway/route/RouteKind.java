package io.hawthornlb.gateway.route;

/** What may be repeated on a route. */
public enum RouteKind {
  /** A request may run more than once. */
  IDEMPOTENT,
  /** A request may run at most once. */
  ONCE,
  /** The answer is a series of events. */
  STREAM,
  /** Requests submit, read and end jobs. */
  JOB
}
