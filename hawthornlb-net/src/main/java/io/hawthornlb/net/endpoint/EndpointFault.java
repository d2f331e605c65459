package io.hawthornlb.net.endpoint;

/** How a call to an endpoint failed. */
public enum EndpointFault {
  /** No connection came about, so no byte has reached the endpoint. */
  NOT_SENT,
  /** The endpoint said itself that it does not take the request. */
  DECLINED,
  /** The endpoint answered that it failed. */
  ERRORED,
  /** The connection ended before the whole answer. */
  BROKEN,
  /** No answer came in time. */
  TIMED_OUT,
  /** The answer is larger than the limit or malformed. */
  UNREADABLE;

  /** Returns whether the endpoint may have executed the request. */
  public boolean mayHaveRun() {
    return this != NOT_SENT && this != DECLINED;
  }
}
