package io.hawthornlb.net.endpoint;

/** The kinds of failure of a call to an endpoint. */
public enum EndpointFault {
  /** No connection could be opened, so no byte has reached the endpoint. */
  NOT_SENT,
  /** The endpoint responded that it does not accept the request. */
  DECLINED,
  /** The endpoint responded that it failed. */
  ERRORED,
  /** The connection was closed before the complete response had arrived. */
  BROKEN,
  /** The response did not arrive within the timeout. */
  TIMED_OUT,
  /** The response exceeds the size limit or is malformed. */
  UNREADABLE;

  /** Returns whether the endpoint may have executed the request. */
  public boolean mayHaveRun() {
    return this != NOT_SENT && this != DECLINED;
  }
}
