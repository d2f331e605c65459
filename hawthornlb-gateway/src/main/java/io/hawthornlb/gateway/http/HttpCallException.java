package io.hawthornlb.gateway.http;

/** A call that got no whole reply; it may have been carried out unless {@link #unsent()}. */
public final class HttpCallException extends RuntimeException {

  private static final long serialVersionUID = 1L;

  private final boolean unsent;

  /** Creates an exception; {@code unsent} says that no byte of the call left this process. */
  public HttpCallException(String message, boolean unsent) {
    super(message);
    this.unsent = unsent;
  }

  /** Returns whether the call certainly was not carried out. */
  public boolean unsent() {
    return unsent;
  }
}
