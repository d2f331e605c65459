package io.hawthornlb.core.endpoint;

/** What a request or probe revealed about an endpoint. */
public enum Observation {
  /** A request succeeded. */
  SUCCESS,
  /** A probe succeeded, and the endpoint does not report that it is leaving. */
  HEALTHY,
  /** A request failed at the endpoint, or no connection could be opened. */
  FAILURE,
  /** The connection broke while requests ran, so the process has probably crashed. */
  CRASH,
  /** A connection delivered no byte for longer than allowed. */
  SILENT,
  /** The endpoint refused new work, or its health check reports that it is leaving. */
  LEAVING
}
