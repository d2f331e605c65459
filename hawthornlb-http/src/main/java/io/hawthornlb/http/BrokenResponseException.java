package io.hawthornlb.http;

/**
 * Thrown when the bytes on a connection are not a complete response.
 *
 * <p>Nothing of the response may be used, not even its status. The connection must be closed. The
 * server may have executed the request.
 */
public final class BrokenResponseException extends RuntimeException {

  private static final long serialVersionUID = 1L;

  private final ResponseFault fault;

  /** Creates an exception. */
  public BrokenResponseException(ResponseFault fault) {
    // The stack names the connection's event loop and tells nothing of the server.
    super(fault.label(), null, false, false);
    this.fault = fault;
  }

  /** Returns why the bytes are not a response. */
  public ResponseFault fault() {
    return fault;
  }
}
