package io.hawthornlb.net.endpoint;

import org.jspecify.annotations.Nullable;

/** Thrown when a call to an endpoint failed before its response was complete. */
public class EndpointCallException extends RuntimeException {

  private static final long serialVersionUID = 1L;

  private final EndpointFault fault;

  /** Creates the exception with the kind of failure. */
  public EndpointCallException(EndpointFault fault, String message, @Nullable Throwable cause) {
    super(message, cause);
    this.fault = fault;
  }

  /** Returns the kind of failure. */
  public EndpointFault fault() {
    return fault;
  }
}
