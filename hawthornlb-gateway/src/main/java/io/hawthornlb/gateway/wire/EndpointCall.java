package io.hawthornlb.gateway.wire;

/** A request at an endpoint. */
public interface EndpointCall {

  /** Ends it at once and closes the connection, so that the endpoint stops its work. */
  void abort();

  /** Stops or goes on reading the answer. */
  void reading(boolean on);

  /** Reads the rest of the answer at a pace, for answers that nobody waits for event by event. */
  void pace();
}
