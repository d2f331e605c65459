package io.hawthornlb.gateway.http;

/**
 * A call that got no complete reply. The server may have processed the call unless {@link
 * #unsent()}.
 */
public final class HttpCallException extends RuntimeException {

  private static final long serialVersionUID = 1L;

  private final boolean unsent;
  private final boolean closedWithoutReply;

  /**
   * Creates an exception.
   *
   * @param unsent whether no byte of the call left this process
   */
  public HttpCallException(String message, boolean unsent) {
    this(message, unsent, false);
  }

  private HttpCallException(String message, boolean unsent, boolean closedWithoutReply) {
    super(message);
    this.unsent = unsent;
    this.closedWithoutReply = closedWithoutReply;
  }

  /** Creates an exception for a call that was sent and whose connection closed without a reply. */
  public static HttpCallException connectionClosed(String message) {
    return new HttpCallException(message, false, true);
  }

  /** Returns whether the call was certainly not processed. */
  public boolean unsent() {
    return unsent;
  }

  /**
   * Returns whether the connection closed after the call was sent; a new connection may still work.
   */
  public boolean closedWithoutReply() {
    return closedWithoutReply;
  }
}
