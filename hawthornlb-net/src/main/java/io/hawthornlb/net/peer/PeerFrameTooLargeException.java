package io.hawthornlb.net.peer;

/** Thrown when a message is larger than a frame may be; split it. */
public class PeerFrameTooLargeException extends IllegalArgumentException {

  private static final long serialVersionUID = 1L;

  /** Creates the exception with both sizes in bytes. */
  public PeerFrameTooLargeException(int size, int limit) {
    super("a message of " + size + " bytes is over the limit of " + limit + "; split it");
  }
}
