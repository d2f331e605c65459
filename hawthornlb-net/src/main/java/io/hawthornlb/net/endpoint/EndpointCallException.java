package io.hawthornlb.net.endpoint;

import org.jspecify.annotations.Nullable;

/** Thrown when a call to an endpoint brought no whole answer. */
public class EndpointCallException extends RuntimeException {

  private static final long serialVersionUID = 1L;

  private final EndpointFault fault;

  /** Creates the exception with the way in which the call failed. */
  public EndpointCallException(EndpointFault fault, String message, @Nullable Throwable cause) {
    super(message, cause);
    this.fault = fault;
  }

  /** Returns how the call failed. */
  public EndpointFault fault() {
    return fault;
  }
}
