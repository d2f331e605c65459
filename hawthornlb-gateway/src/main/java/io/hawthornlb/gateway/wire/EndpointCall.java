package io.hawthornlb.gateway.wire;

/** A request at an endpoint. */
public interface EndpointCall {

  /** Ends it at once and closes the connection, so that the endpoint stops its work. */
  void abort();

  /** Stops or goes on reading the answer. */
  void reading(boolean on);
}
