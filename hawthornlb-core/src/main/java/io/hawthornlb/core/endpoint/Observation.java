package io.hawthornlb.core.endpoint;

/** What a request or probe showed about an endpoint. */
public enum Observation {
  /** A request ended well. */
  SUCCESS,
  /** A probe ended well, and the endpoint does not say that it is leaving. */
  HEALTHY,
  /** A request failed at the endpoint, or no connection could be made. */
  FAILURE,
  /** The connection broke while requests ran: the process has probably died. */
  CRASH,
  /** A connection gave no byte for longer than it may. */
  SILENT,
  /** The endpoint refused new work or its health says that it is leaving. */
  LEAVING
}
