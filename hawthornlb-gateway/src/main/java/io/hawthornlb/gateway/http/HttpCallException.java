package io.hawthornlb.gateway.http;

/** A call that got no whole reply; it may have been carried out unless {@link #unsent()}. */
public final class HttpCallException extends RuntimeException {

  private static final long serialVersionUID = 1L;

  private final boolean unsent;
  private final boolean cut;

  /** Creates an exception; {@code unsent} says that no byte of the call left this process. */
  public HttpCallException(String message, boolean unsent) {
    this(message, unsent, false);
  }

  private HttpCallException(String message, boolean unsent, boolean cut) {
    super(message);
    this.unsent = unsent;
    this.cut = cut;
  }

  /** Creates an exception of a call that was sent and whose connection closed without a reply. */
  public static HttpCallException connectionClosed(String message) {
    return new HttpCallException(message, false, true);
  }

  /** Returns whether the call certainly was not carried out. */
  public boolean unsent() {
    return unsent;
  }

  /** Returns whether the connection closed behind the call, which says nothing of a new one. */
  public boolean cut() {
    return cut;
  }
}
